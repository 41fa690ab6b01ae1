package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"sloehitch/internal/store"
	"sloehitch/internal/testing/loopback"
)

// storeGroup is a set of store members that run in this process, with their admin addresses.
type storeGroup struct {
	stores  []*store.Store
	servers []*http.Server
	admins  []string
}

// startStoreGroup starts n members of a store with folders in dir. The caller must close the result, even after an error.
func startStoreGroup(dir string, n int) (*storeGroup, error) {
	g := &storeGroup{}
	addresses, err := loopback.Addresses(2 * n)
	if err != nil {
		return g, err
	}
	var members []store.Member
	for i := range n {
		members = append(members, store.Member{Name: fmt.Sprint("m", i), RaftAddress: addresses[2*i], AdminAddress: addresses[2*i+1]})
		g.admins = append(g.admins, addresses[2*i+1])
	}
	for _, m := range members {
		s, err := store.Open(store.Options{Name: m.Name, Members: members, Dir: filepath.Join(dir, m.Name), CommitTimeout: 5 * time.Second,
			ElectionTimeout: time.Second, Logger: slog.New(slog.DiscardHandler)})
		if err != nil {
			return g, err
		}
		g.stores = append(g.stores, s)
		ln, err := net.Listen("tcp", m.AdminAddress)
		if err != nil {
			return g, err
		}
		server := &http.Server{Handler: s.Handler()}
		g.servers = append(g.servers, server)
		go func() { _ = server.Serve(ln) }() // until the server is closed
	}
	return g, nil
}

// awaitLeader blocks until a leader is elected, and returns an error after 30 s without one.
func (g *storeGroup) awaitLeader() error {
	for end := time.Now().Add(30 * time.Second); g.stores[0].Members().Leader == ""; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the store has no leader after 30 s")
		}
	}
	return nil
}

func (g *storeGroup) close() (err error) {
	for _, server := range g.servers {
		err = errors.Join(err, server.Close())
	}
	for _, s := range g.stores {
		err = errors.Join(err, s.Close())
	}
	return err
}
