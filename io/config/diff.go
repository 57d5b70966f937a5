package config

import (
	"reflect"
	"slices"
)

// reloadable holds the keys whose changes apply without a restart.
var reloadable = []string{"service", "retry-slack"}

// Changes returns the keys whose values differ in next, those that apply without a
// restart apart from the others.
func (s *SidecarSettings) Changes(next *SidecarSettings) (applied, needRestart []string) {
	before, after := reflect.ValueOf(*s), reflect.ValueOf(*next)
	for i := range before.NumField() {
		if before.Field(i).Equal(after.Field(i)) {
			continue
		}
		key := before.Type().Field(i).Tag.Get("json")
		if slices.Contains(reloadable, key) {
			applied = append(applied, key)
			continue
		}
		needRestart = append(needRestart, key)
	}
	return applied, needRestart
}
