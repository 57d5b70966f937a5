package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strconv"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
	"teaseltack/gen/teaseltack/operator/v1/operatorv1connect"
	"teaseltack/io/auth"
	"teaseltack/io/intact"
	"teaseltack/io/random"
)

// callTimeout bounds one call to a daemon's operator address.
const callTimeout = 10 * time.Second

// clientFlags are the flags of every operator command.
type clientFlags struct {
	daemon  *string
	keyFile *string
	asJSON  *bool
}

func defineClient(clause *kingpin.CmdClause) clientFlags {
	return clientFlags{
		daemon:  clause.Flag("daemon", "Operator address of any daemon, IP:PORT.").Default("127.0.0.1:7004").String(),
		keyFile: clause.Flag("key-file", "File with the operators' shared key.").String(),
		asJSON:  clause.Flag("json", "Print JSON.").Bool(),
	}
}

func (f clientFlags) client() (operatorv1connect.OperatorServiceClient, error) {
	key := auth.Key("")
	if *f.keyFile != "" {
		text, err := os.ReadFile(*f.keyFile)
		if err != nil {
			return nil, fmt.Errorf("reading the key: %w", err)
		}
		key = auth.Key(trimLineEnd(text))
	}
	httpClient := &http.Client{Transport: key.Transport(intact.New(intact.Config{})), Timeout: callTimeout}
	return operatorv1connect.NewOperatorServiceClient(httpClient, "http://"+*f.daemon, connect.WithProtoJSON()), nil
}

func trimLineEnd(text []byte) string {
	for len(text) > 0 && (text[len(text)-1] == '\n' || text[len(text)-1] == '\r') {
		text = text[:len(text)-1]
	}
	return string(text)
}

// changeFlags are the flags of every command that changes the configuration.
type changeFlags struct {
	changeID *string
	who      *string
}

func defineChange(clause *kingpin.CmdClause) changeFlags {
	return changeFlags{
		changeID: clause.Flag("change-id", "Id of this change; repeat a change of unknown outcome with the same id.").String(),
		who:      clause.Flag("who", "Name for the audit trail; the login name by default.").String(),
	}
}

func (f changeFlags) id() string {
	if *f.changeID != "" {
		return *f.changeID
	}
	return strconv.FormatUint(random.New().Uint64(), 36)
}

func (f changeFlags) name() string {
	if *f.who != "" {
		return *f.who
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unnamed"
}

func printMessage(w io.Writer, m proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("encoding the daemon's answer: %w", err)
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}

func printJSON(w io.Writer, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding the report: %w", err)
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}

func newTable(w io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
}

// reportOutcome prints an outcome. It returns an error, with the matching exit
// code, unless the change was accepted.
func reportOutcome(e *env, asJSON bool, id string, o *operatorv1.Outcome) error {
	if asJSON {
		if err := printMessage(e.stdout, o); err != nil {
			return err
		}
	} else {
		_, _ = fmt.Fprintf(e.stdout, "%s: generation %d, change-id %s\n", o.Result, o.Generation, id)
		printChanges(e.stdout, o.Changes)
	}
	switch o.Result {
	case "accepted":
		return nil
	case "unknown":
		return &exitError{exitUnknown, fmt.Errorf("%s", o.Detail)}
	}
	return fmt.Errorf("refused: %s", o.Detail)
}

func printChanges(w io.Writer, changes []*operatorv1.Change) {
	if len(changes) == 0 {
		return
	}
	table := newTable(w)
	_, _ = fmt.Fprintln(table, "GENERATION\tWHEN\tWHO\tWHAT\tBEFORE\tAFTER\tCHANGE-ID")
	for _, c := range changes {
		when := time.UnixMilli(c.AtUnixMs).UTC().Format(time.RFC3339)
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Generation, when, c.Who, c.What, orDash(c.Before), orDash(c.After), c.ChangeId)
	}
	_ = table.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
