package config

import (
	"fmt"
	"os"

	"github.com/tailscale/hujson"
)

// SidecarSettings holds the settings of a daemon on the users' platform, rendered
// from the template deploy/settings.hujson.
type SidecarSettings struct {
	Host            string `json:"host"`
	DataCentre      string `json:"data-centre"`
	Region          string `json:"region"`
	IP              string `json:"ip"`
	Service         string `json:"service"`
	OuterAddress    string `json:"outer-address"`
	ReadyAddress    string `json:"ready-address"`
	AnnounceAddress string `json:"announce-address"`
	ServerAddress   string `json:"server-address"`
	PeerPort        int64  `json:"peer-port"`
	// PeerAddress is the address at which other daemons reach this one, if it is
	// not the peer listener's own address.
	PeerAddress     string `json:"peer-address"`
	MetricsPort     int64  `json:"metrics-port"`
	PlatformAddress string `json:"platform-address"`
	MemoryMB        int64  `json:"memory-mb"`
	// MaxDescriptors is the number of descriptors that the process may open; 0 stands for
	// the limit that the system has set.
	MaxDescriptors int64 `json:"max-descriptors"`
	// HeartbeatS is the period of the server's heartbeats in seconds.
	HeartbeatS float64 `json:"heartbeat-s"`
	// GraceS is the time in seconds between the stop signal and the kill.
	GraceS float64 `json:"grace-s"`
	// RetryRatio is the number of retries per call that all daemons together may
	// send to one service.
	RetryRatio float64 `json:"retry-ratio"`
	// RetryWindowS is the length in seconds of the window in which they are counted.
	RetryWindowS float64 `json:"retry-window-s"`
	// RetrySlack is the number of retries per window and service that all daemons
	// together may send beyond RetryRatio.
	RetrySlack    float64 `json:"retry-slack"`
	MaxWaitMs     int64   `json:"max-wait-ms"`
	MaxBodyBytes  int64   `json:"max-body-bytes"`
	MaxRemembered int64   `json:"max-remembered"`
	LogLevel      string  `json:"log-level"`
}

// LoadSidecar reads and checks the settings of a daemon on the platform.
func LoadSidecar(path string) (*SidecarSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the settings: %w", err)
	}
	return ParseSidecar(path, text)
}

// ParseSidecar reads and checks the text of the settings. Errors name path as the
// file.
func ParseSidecar(path string, text []byte) (*SidecarSettings, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, errorList{fmt.Sprintf("%s: %v", path, err)}
	}
	s := SidecarSettings{MaxWaitMs: 100, MaxBodyBytes: 64 << 20, MaxRemembered: 100_000, LogLevel: "info"}
	p := &parser{path: path, text: text, offsets: map[string]int{}}
	p.fill(&s, root)
	if len(p.errors) == 0 {
		p.checkSidecar(&s)
	}
	if len(p.errors) > 0 {
		return nil, p.errors
	}
	return &s, nil
}

func (p *parser) checkSidecar(s *SidecarSettings) {
	for _, text := range []struct{ key, value string }{
		{"host", s.Host}, {"data-centre", s.DataCentre}, {"service", s.Service}, {"ip", s.IP},
	} {
		if text.value == "" {
			p.addKeyError(text.key, "is empty, allowed is a non-empty string")
		}
	}
	for _, listener := range []struct{ key, value string }{
		{"outer-address", s.OuterAddress}, {"ready-address", s.ReadyAddress}, {"announce-address", s.AnnounceAddress},
		{"server-address", s.ServerAddress}, {"platform-address", s.PlatformAddress},
	} {
		p.checkAddress(listener.key, listener.value, 0)
	}
	if s.PeerAddress != "" {
		p.checkAddress("peer-address", s.PeerAddress, 1)
	}
	for _, n := range []struct {
		key              string
		value            float64
		minimum, maximum float64
	}{
		{"peer-port", float64(s.PeerPort), 0, 65535},
		{"metrics-port", float64(s.MetricsPort), 0, 65535},
		{"heartbeat-s", s.HeartbeatS, 0.01, 600},
		{"grace-s", s.GraceS, 0.1, 600},
		{"retry-ratio", s.RetryRatio, 0, 10},
		{"retry-window-s", s.RetryWindowS, 0.1, 600},
		{"retry-slack", s.RetrySlack, 0, 100_000},
		{"max-wait-ms", float64(s.MaxWaitMs), 1, 10_000},
		{"max-body-bytes", float64(s.MaxBodyBytes), 1024, 1 << 30},
		{"max-remembered", float64(s.MaxRemembered), 100, 10_000_000},
		{"memory-mb", float64(s.MemoryMB), 16, 1 << 20},
		{"max-descriptors", float64(s.MaxDescriptors), 0, 1 << 30},
	} {
		if n.value < n.minimum || n.value > n.maximum {
			p.addKeyError(n.key, "is %v, allowed is %v to %v", n.value, n.minimum, n.maximum)
		}
	}
}
