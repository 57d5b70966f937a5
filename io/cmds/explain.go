package cmds

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

var explainCommand = command{
	name: "explain",
	help: "Print the log lines of one request from daemons' logs, in order of time.",
	define: func(clause *kingpin.CmdClause) action {
		id := clause.Arg("id", "The request's id.").Required().String()
		files := clause.Arg("file", "Log files; standard input by default.").Strings()
		asJSON := clause.Flag("json", "Print one JSON object per line.").Bool()
		return func(e *env) error {
			lines, err := readAllLines(*id, *files)
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return fmt.Errorf("no line names request %s; the lines that a daemon logs per second are limited for each step", *id)
			}
			return printLines(e.stdout, lines, *asJSON)
		}
	},
}

// logLine is one logged decision.
type logLine struct {
	Time   string            `json:"time"`
	Step   string            `json:"step"`
	Fields map[string]string `json:"fields"`
}

var (
	timePattern  = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+Z?\S*`)
	stepPattern  = regexp.MustCompile(`teaseltack: ([a-z -]+):`)
	fieldPattern = regexp.MustCompile(`([a-z-]+)=("(?:[^"\\]|\\.)*"|\S*)`)
)

// readAllLines returns the lines of all files, or of the standard input if there are
// none, that name the request, in order of time.
func readAllLines(id string, files []string) ([]logLine, error) {
	var lines []logLine
	if len(files) == 0 {
		found, err := readLines(os.Stdin, id)
		if err != nil {
			return nil, fmt.Errorf("reading the standard input: %w", err)
		}
		lines = found
	}
	for _, name := range files {
		found, err := readFile(name, id)
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	return lines, nil
}

func readFile(name, id string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("opening a log: %w", err)
	}
	defer func() { _ = file.Close() }()
	found, err := readLines(file, id)
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", name, err)
	}
	return found, nil
}

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

func readLines(r io.Reader, id string) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLogLine)
	var lines []logLine
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(" "+text+" ", " id="+id+" ") {
			continue
		}
		line := logLine{Time: timePattern.FindString(text), Fields: map[string]string{}}
		if step := stepPattern.FindStringSubmatch(text); step != nil {
			line.Step = step[1]
		}
		for _, field := range fieldPattern.FindAllStringSubmatch(text, -1) {
			line.Fields[field[1]] = strings.Trim(field[2], `"`)
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

func printLines(w io.Writer, lines []logLine, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		for _, l := range lines {
			if err := encoder.Encode(l); err != nil {
				return fmt.Errorf("printing a log line: %w", err)
			}
		}
		return nil
	}
	for _, l := range lines {
		f := l.Fields
		_, _ = fmt.Fprintf(w, "%s %s %s at %s, target %s\n", l.Time, f["part"], l.Step, orDash(f["at"]), f["target"])
		_, _ = fmt.Fprintf(w, "    verdict %s, reason %s %s\n", f["verdict"], orDash(f["reason"]), f["detail"])
		_, _ = fmt.Fprintf(w, "    home %s, attempt %s, status %s, took %s ms (server %s, queues here and below %s), %s ms left\n",
			orDash(f["home"]), f["attempt"], f["status"], f["took-ms"], f["work-ms"], f["waited-ms"], f["left-ms"])
		_, _ = fmt.Fprintf(w, "    in flight %s of limit %s, admission level %s, below %s, class %s, configuration %s\n",
			f["in-flight"], f["limit"], f["level"], f["level-below"], f["class"], f["generation"])
	}
	return nil
}
