package settings

import (
	"fmt"
	"reflect"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// AddFlags adds a flag for every setting to the subcommand, with unit, variable and default in its help.
//
// The call of the returned function after parsing completes the settings: a
// secret's default is never in reach of the help text.
func (s *Settings) AddFlags(command *flaggy.Subcommand) (complete func(), err error) {
	value := reflect.ValueOf(s).Elem()
	var completions []func()
	for i := range value.NumField() {
		field := value.Type().Field(i)
		target := value.Field(i).Addr().Interface()
		if field.Tag.Get("secret") == "true" {
			hidden, restore := hide(target.(*string))
			completions = append(completions, restore)
			target = hidden
		}
		if err := addFlag(command, field, target); err != nil {
			return nil, err
		}
	}
	return func() {
		for _, completion := range completions {
			completion()
		}
	}, nil
}

// hide returns an empty stand-in for a secret and the function that moves a given value back.
func hide(secret *string) (standIn *string, restore func()) {
	standIn = new(string)
	return standIn, func() {
		if *standIn != "" {
			*secret = *standIn
		}
	}
}

func addFlag(command *flaggy.Subcommand, field reflect.StructField, target any) error {
	name := field.Tag.Get("flag")
	help := describe(field)
	switch v := target.(type) {
	case *string:
		command.String(v, "", name, help)
	case *int:
		command.Int(v, "", name, help)
	case *int64:
		command.Int64(v, "", name, help)
	case *float64:
		command.Float64(v, "", name, help)
	case *time.Duration:
		command.Duration(v, "", name, help)
	default:
		return errors.Wrapf(ErrInvalid, "%s has a type without a flag", name)
	}
	return nil
}

func describe(field reflect.StructField) string {
	help := field.Tag.Get("help")
	if unit := field.Tag.Get("unit"); unit != "" {
		help += fmt.Sprintf(" [%s]", unit)
	}
	return fmt.Sprintf("%s (%s%s)", help, Prefix, field.Tag.Get("env"))
}

// Setting describes one setting for people.
type Setting struct {
	Flag     string
	Variable string
	Default  string
	Unit     string
	Help     string
}

// List returns the description of every setting in their order.
func List() []Setting {
	t := reflect.TypeFor[Settings]()
	list := make([]Setting, 0, t.NumField())
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		list = append(list, Setting{
			Flag:     tag.Get("flag"),
			Variable: Prefix + tag.Get("env"),
			Default:  tag.Get("envDefault"),
			Unit:     tag.Get("unit"),
			Help:     tag.Get("help"),
		})
	}
	return list
}
