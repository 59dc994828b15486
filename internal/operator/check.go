package operator

import (
	_ "embed"
	"fmt"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/encoding/json"

	"mulleinwood/internal/config"
	"mulleinwood/internal/platform/apierror"
)

//go:embed config.cue
var schema string

// CheckConfig says what is wrong with a configuration file, in one line with its place.
func CheckConfig(path string, text []byte) error {
	if err := checkShape(path, text, "#Config"); err != nil {
		return err
	}
	if _, err := config.Parse(text); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// CheckChange says what is wrong with a file of changes, in one line with its place. Only the controllers can judge a change in
// full: they hold what it changes.
func CheckChange(path string, text []byte) error { return checkShape(path, text, "#Change") }

// checkShape holds a file against a definition of the schema.
func checkShape(path string, text []byte, definition string) error {
	expr, err := json.Extract(path, text)
	if err != nil {
		return apierror.Invalid.New("%s", firstError(err, path))
	}
	ctx := cuecontext.New()
	value := ctx.CompileString(schema).LookupPath(cue.ParsePath(definition)).Unify(ctx.BuildExpr(expr))
	if err := value.Validate(cue.Concrete(true)); err != nil {
		return apierror.Invalid.New("%s", firstError(err, path))
	}
	return nil
}

// definitionNames takes the names of the schema's definitions out of CUE's errors.
var definitionNames = strings.NewReplacer("#Config.", "", "#Change.", "")

// firstError folds CUE's errors into the first, with its place in the file.
func firstError(err error, path string) string {
	all := errors.Errors(err)
	if len(all) == 0 {
		return err.Error()
	}
	text := strings.Join(strings.Fields(definitionNames.Replace(all[0].Error())), " ")
	for _, at := range errors.Positions(all[0]) {
		if at.Filename() == path {
			return fmt.Sprintf("%s:%d:%d: %s", path, at.Line(), at.Column(), strings.TrimPrefix(text, path+": "))
		}
	}
	return path + ": " + text
}
