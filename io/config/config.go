// Package config reads a daemon's settings: JSON with comments, checked in full
// before anything starts. A syntax error is reported alone, then all errors of keys
// and types together, and if there are none, all errors of values. Each has its line
// and column.
package config

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Settings holds a daemon's settings. docs/SETTINGS.md describes them.
type Settings struct {
	Host               string   `json:"host"`
	DataCentre         string   `json:"data-centre"`
	Region             string   `json:"region"`
	OuterAddress       string   `json:"outer-address"`
	InnerAddress       string   `json:"inner-address"`
	PeerAddress        string   `json:"peer-address"`
	OperatorAddress    string   `json:"operator-address"`
	PlatformAddress    string   `json:"platform-address"`
	Peers              []string `json:"peers"`
	Near               []string `json:"near"`
	PeerKey            string   `json:"peer-key"`
	OperatorKey        string   `json:"operator-key"`
	MaxWaitMs          int64    `json:"max-wait-ms"`
	MaxBodyBytes       int64    `json:"max-body-bytes"`
	MaxAnswerBytes     int64    `json:"max-answer-bytes"`
	MaxReadingBytes    int64    `json:"max-reading-bytes"`
	MaxRequestBytes    int64    `json:"max-request-bytes"`
	MaxCallers         int64    `json:"max-callers"`
	DefaultLifetimeMs  int64    `json:"default-lifetime-ms"`
	TicketLifetimeS    int64    `json:"ticket-lifetime-s"`
	KeyLifetimeS       int64    `json:"key-lifetime-s"`
	ClaimsPerSecond    int64    `json:"claims-per-second"`
	AnnouncementTTLMs  int64    `json:"announcement-ttl-ms"`
	ShutdownS          int64    `json:"shutdown-s"`
	LogLevel           string   `json:"log-level"`
	MaxRemembered      int64    `json:"max-remembered"`
	MaxRememberedBytes int64    `json:"max-remembered-bytes"`
}

// defaults returns the values of settings that a file leaves out.
func defaults() Settings {
	return Settings{
		MaxWaitMs:          100,
		MaxBodyBytes:       8 << 20,
		MaxAnswerBytes:     8 << 20,
		MaxReadingBytes:    32 << 20,
		MaxRequestBytes:    32 << 20,
		MaxCallers:         4096,
		DefaultLifetimeMs:  2000,
		TicketLifetimeS:    120,
		KeyLifetimeS:       3600,
		ClaimsPerSecond:    100,
		AnnouncementTTLMs:  3000,
		ShutdownS:          30,
		LogLevel:           "info",
		MaxRemembered:      50_000,
		MaxRememberedBytes: 8 << 20,
	}
}

// MessageOverhead is the size in bytes allowed for headers, beside the body, in a message
// between daemons.
const MessageOverhead = 1 << 20

// leastMessages is how many of the largest messages the memory of requests holds at least.
// A daemon holds up to four copies of the one that it decodes.
const leastMessages = 6

// leastRequestBytes returns the least memory of requests.
func (s *Settings) leastRequestBytes() int64 {
	return leastMessages * (s.MaxBodyBytes + MessageOverhead)
}

type bounds struct {
	key              string
	value            func(*Settings) int64
	minimum, maximum int64
}

var numberBounds = []bounds{
	{"max-wait-ms", func(s *Settings) int64 { return s.MaxWaitMs }, 1, 10_000},
	{"max-body-bytes", func(s *Settings) int64 { return s.MaxBodyBytes }, 1024, 64 << 20},
	{"max-answer-bytes", func(s *Settings) int64 { return s.MaxAnswerBytes }, 1024, 64 << 20},
	{"max-reading-bytes", func(s *Settings) int64 { return s.MaxReadingBytes }, 1024, 1 << 40},
	{"max-request-bytes", func(s *Settings) int64 { return s.MaxRequestBytes }, 1024, 1 << 40},
	{"max-callers", func(s *Settings) int64 { return s.MaxCallers }, 1, 100_000},
	{"default-lifetime-ms", func(s *Settings) int64 { return s.DefaultLifetimeMs }, 1, 600_000},
	{"ticket-lifetime-s", func(s *Settings) int64 { return s.TicketLifetimeS }, 1, 86_400},
	{"key-lifetime-s", func(s *Settings) int64 { return s.KeyLifetimeS }, 1, 604_800},
	{"claims-per-second", func(s *Settings) int64 { return s.ClaimsPerSecond }, 1, 10_000},
	{"announcement-ttl-ms", func(s *Settings) int64 { return s.AnnouncementTTLMs }, 100, 60_000},
	{"shutdown-s", func(s *Settings) int64 { return s.ShutdownS }, 1, 3600},
	{"max-remembered", func(s *Settings) int64 { return s.MaxRemembered }, 100, 10_000_000},
	{"max-remembered-bytes", func(s *Settings) int64 { return s.MaxRememberedBytes }, 0, 1 << 30},
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)
	logLevels   = []string{"debug", "info", "warn", "error"}
)

// errorList holds all errors found in a file, one line each.
type errorList []string

// Error returns the errors, one per line.
func (e errorList) Error() string {
	return strings.Join(e, "\n")
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the settings: %w", err)
	}
	return Parse(path, text)
}

// Parse reads and checks the text of a settings file. Errors name path as the file.
func Parse(path string, text []byte) (*Settings, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, errorList{fmt.Sprintf("%s: %v", path, err)}
	}
	settings := defaults()
	p := &parser{path: path, text: text, offsets: map[string]int{}}
	p.fill(&settings, root)
	if _, given := p.offsets["max-reading-bytes"]; !given {
		settings.MaxReadingBytes = max(settings.MaxReadingBytes, settings.MaxAnswerBytes)
	}
	if _, given := p.offsets["max-request-bytes"]; !given {
		settings.MaxRequestBytes = max(settings.MaxRequestBytes, settings.leastRequestBytes())
	}
	if len(p.errors) == 0 {
		p.check(&settings)
	}
	if len(p.errors) > 0 {
		return nil, p.errors
	}
	return &settings, nil
}

// parser collects the errors of one file.
type parser struct {
	path string
	text []byte
	// offsets holds the byte offset of each key's value.
	offsets map[string]int
	errors  errorList
}

// addError adds an error at a byte offset.
func (p *parser) addError(offset int, format string, args ...any) {
	before := p.text[:min(offset, len(p.text))]
	line := strings.Count(string(before), "\n") + 1
	column := offset - strings.LastIndex(string(before), "\n")
	p.errors = append(p.errors, fmt.Sprintf("%s:%d:%d: %s", p.path, line, column, fmt.Sprintf(format, args...)))
}

// addKeyError adds an error at the value of a key, or at the start of the file if
// the key is missing.
func (p *parser) addKeyError(key, format string, args ...any) {
	p.addError(p.offsets[key], "%s "+format, append([]any{key}, args...)...)
}

func (p *parser) check(s *Settings) {
	for _, name := range []struct{ key, value string }{{"host", s.Host}, {"data-centre", s.DataCentre}} {
		if !namePattern.MatchString(name.value) {
			p.addKeyError(name.key, "is %q, allowed are 1 to 63 of a-z, 0-9 and hyphen", name.value)
		}
	}
	if s.Region != "" && !namePattern.MatchString(s.Region) {
		p.addKeyError("region", "is %q, allowed are 1 to 63 of a-z, 0-9 and hyphen", s.Region)
	}
	for _, b := range numberBounds {
		if v := b.value(s); v < b.minimum || v > b.maximum {
			p.addKeyError(b.key, "is %d, allowed is %d to %d", v, b.minimum, b.maximum)
		}
	}
	if !slices.Contains(logLevels, s.LogLevel) {
		p.addKeyError("log-level", "is %q, allowed are %s", s.LogLevel, strings.Join(logLevels, ", "))
	}
	p.checkAddresses(s)
	if s.KeyLifetimeS < s.TicketLifetimeS {
		p.addKeyError("key-lifetime-s", "is %d, allowed is at least ticket-lifetime-s, which is %d", s.KeyLifetimeS, s.TicketLifetimeS)
	}
	if s.MaxReadingBytes < s.MaxAnswerBytes {
		p.addKeyError("max-reading-bytes", "is %d, allowed is at least max-answer-bytes, which is %d", s.MaxReadingBytes, s.MaxAnswerBytes)
	}
	if least := s.leastRequestBytes(); s.MaxRequestBytes < least {
		p.addKeyError("max-request-bytes", "is %d, allowed is at least six times the sum of max-body-bytes and 1 MiB, which is %d", s.MaxRequestBytes, least)
	}
	if s.DefaultLifetimeMs <= s.MaxWaitMs {
		p.addKeyError("default-lifetime-ms", "is %d, allowed is more than max-wait-ms, which is %d", s.DefaultLifetimeMs, s.MaxWaitMs)
	}
}

func (p *parser) checkAddresses(s *Settings) {
	listeners := []struct{ key, value string }{
		{"outer-address", s.OuterAddress}, {"inner-address", s.InnerAddress},
		{"peer-address", s.PeerAddress}, {"operator-address", s.OperatorAddress},
	}
	keyByAddress := map[string]string{}
	for _, listener := range listeners {
		if !p.checkAddress(listener.key, listener.value, 0) {
			continue
		}
		if other, ok := keyByAddress[listener.value]; ok && !strings.HasSuffix(listener.value, ":0") {
			p.addKeyError(listener.key, "is %q, allowed is an address that %s does not use", listener.value, other)
		}
		keyByAddress[listener.value] = listener.key
	}
	if s.PlatformAddress != "" {
		p.checkAddress("platform-address", s.PlatformAddress, 1)
	}
	for _, peer := range s.Peers {
		p.checkAddress("peers", peer, 1)
	}
}

func (p *parser) checkAddress(key, value string, minPort int) bool {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || net.ParseIP(host) == nil || number < minPort || number > 65535 {
		p.addKeyError(key, "is %q, allowed is IP:PORT with a port from %d to 65535", value, minPort)
		return false
	}
	return true
}
