package settings

import (
	"fmt"
	"reflect"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// AddFlags adds a flag for every setting to the subcommand; its help text states unit, variable and default.
//
// The returned function must be called after the command line is parsed. It
// copies the secrets that were given as flags into the settings: secrets are
// parsed into empty placeholders, so that the help text never shows a secret as
// the default of its flag.
func (s *Settings) AddFlags(command *flaggy.Subcommand) (complete func(), err error) {
	value := reflect.ValueOf(s).Elem()
	var completions []func()
	for i := range value.NumField() {
		field := value.Type().Field(i)
		target := value.Field(i).Addr().Interface()
		if field.Tag.Get("secret") == "true" {
			placeholder, copyBack := hideDefault(target.(*string))
			completions = append(completions, copyBack)
			target = placeholder
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

// hideDefault returns an empty placeholder for a secret and a function that copies a value given for it to the secret.
func hideDefault(secret *string) (placeholder *string, copyBack func()) {
	placeholder = new(string)
	return placeholder, func() {
		if *placeholder != "" {
			*secret = *placeholder
		}
	}
}

func addFlag(command *flaggy.Subcommand, field reflect.StructField, target any) error {
	name := field.Tag.Get("flag")
	help := helpText(field)
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

func helpText(field reflect.StructField) string {
	help := field.Tag.Get("help")
	if unit := field.Tag.Get("unit"); unit != "" {
		help += fmt.Sprintf(" [%s]", unit)
	}
	return fmt.Sprintf("%s (%s%s)", help, Prefix, field.Tag.Get("env"))
}

// Setting describes one setting for the list that operators read.
type Setting struct {
	Flag     string
	Variable string
	Default  string
	Unit     string
	Help     string
}

// List returns the descriptions of all settings, in the order of the fields of Settings.
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
