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

// Check says what is wrong with a configuration file, or with a file of changes, in one line with its place. A change can
// be judged in full only by the controllers, which hold what it changes.
func Check(path string, text []byte, change bool) error {
	expr, err := json.Extract(path, text)
	if err != nil {
		return apierror.Invalid.New("%s", firstError(err, path))
	}
	name := "#Config"
	if change {
		name = "#Change"
	}
	ctx := cuecontext.New()
	value := ctx.CompileString(schema).LookupPath(cue.ParsePath(name)).Unify(ctx.BuildExpr(expr))
	if err := value.Validate(cue.Concrete(true)); err != nil {
		return apierror.Invalid.New("%s", firstError(err, path))
	}
	if change {
		return nil
	}
	if _, err := config.Parse(text); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// firstError folds CUE's errors into the first, with its place in the file.
func firstError(err error, path string) string {
	all := errors.Errors(err)
	if len(all) == 0 {
		return err.Error()
	}
	text := strings.Join(strings.Fields(strings.ReplaceAll(strings.ReplaceAll(all[0].Error(), "#Config.", ""), "#Change.", "")), " ")
	for _, at := range errors.Positions(all[0]) {
		if at.Filename() == path {
			return fmt.Sprintf("%s:%d:%d: %s", path, at.Line(), at.Column(), strings.TrimPrefix(text, path+": "))
		}
	}
	return path + ": " + text
}
