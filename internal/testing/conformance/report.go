package conformance

import (
	"encoding/json"
	"encoding/xml"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Failed returns how many results did not pass.
func Failed(results []Result) (n int) {
	for _, r := range results {
		if !r.Passed {
			n++
		}
	}
	return n
}

// Table writes the failed results, or all of them, as a table, and a line with the counts.
func Table(w io.Writer, results []Result, all bool) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range results {
		word := "ok"
		if !r.Passed {
			word = "FAIL"
		} else if !all {
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", word, r.Name, r.Want, r.From)
		if !r.Passed {
			fmt.Fprintf(t, "\t  %s; got %s\t\t\n", r.Why, r.Got)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	failed := Failed(results)
	_, err := fmt.Fprintf(w, "%d passed, %d failed\n", len(results)-failed, failed)
	return err
}

// JSON writes results as an array.
func JSON(w io.Writer, results []Result) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(results)
}

type suite struct {
	XMLName  xml.Name   `xml:"testsuite"`
	Name     string     `xml:"name,attr"`
	Tests    int        `xml:"tests,attr"`
	Failures int        `xml:"failures,attr"`
	Time     float64    `xml:"time,attr"`
	Cases    []testcase `xml:"testcase"`
}

type testcase struct {
	Group   string   `xml:"classname,attr"`
	Name    string   `xml:"name,attr"`
	Time    float64  `xml:"time,attr"`
	Failure *failure `xml:"failure"`
}

type failure struct {
	Message string `xml:"message,attr"`
	Text    string `xml:",chardata"`
}

// JUnit writes results as JUnit XML, which build servers read.
func JUnit(w io.Writer, results []Result) error {
	s := suite{Name: "uwsgi", Tests: len(results), Failures: Failed(results)}
	for _, r := range results {
		group, name, _ := strings.Cut(r.Name, "/")
		c := testcase{Group: "uwsgi." + group, Name: name, Time: r.Took.Seconds()}
		if !r.Passed {
			c.Failure = &failure{r.Why, r.From + "\ngot " + r.Got}
		}
		s.Time += r.Took.Round(time.Microsecond).Seconds()
		s.Cases = append(s.Cases, c)
	}
	if _, err := io.WriteString(w, xml.Header); err != nil {
		return err
	}
	e := xml.NewEncoder(w)
	e.Indent("", "  ")
	if err := e.Encode(s); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\n")
	return err
}
