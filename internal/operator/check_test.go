package operator_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/operator"
)

const config = `{"version":"r7",
"services":[{"name":"tags","health_path":"/health","conn_limit":110}],
"limits":{"idle_s":15},
"plants":[{"plant":"a.example","channels":[
{"name":"r-1","path_prefix":"/s/","kind":"safe","deadline_s":1,"tries":2,"split":[{"service":"tags","gain":90}]}]}]}`

func TestCheckTellsWhatIsWrongAndWhere(t *testing.T) {
	g := NewWithT(t)
	g.Expect(operator.CheckConfig("f.json", []byte(config))).To(Succeed())
	for was, c := range map[string][2]string{
		`"version":"r7"`:      {`"version":"7"`, `f.json:1:`},
		`"kind":"safe"`:       {`"kind":"sure"`, `f.json:5:`},
		`"deadline_s":1`:      {`"deadline_s":0`, `f.json:5:`},
		`"tries":2`:           {`"tries":0`, `f.json:5:`},
		`"path_prefix":"/s/"`: {`"path_prefix":"s/"`, `f.json:5:`},
		`"conn_limit":110`:    {`"conn_limit":"many"`, `f.json:2:`},
		`"name":"r-1",`:       {``, `channels.0.name`},
		`"service":"tags"`:    {`"service":"tagz"`, `"tagz" is not known`},
		`"gain":90`:           {`"gain":0`, `weights sum to 0`},
		`]}]}]}`:              {`]}]`, `f.json`},
	} {
		bad := strings.Replace(config, was, c[0], 1)
		g.Expect(bad).NotTo(Equal(config), was)
		err := operator.CheckConfig("f.json", []byte(bad))
		g.Expect(err).To(MatchError(ContainSubstring(c[1])), was)
		g.Expect(err.Error()).NotTo(ContainSubstring("\n"))
	}
	g.Expect(operator.CheckChange("f.json", []byte(`{"version":"r9","remove":{"routes":["r-1"]}}`))).To(Succeed())
	g.Expect(operator.CheckChange("f.json", []byte(`{"version":"r9","remove":{"routes":[1]}}`))).To(MatchError(ContainSubstring("f.json:1:")))
}
