package replay

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/toucanwell/toucanwell/internal/config"
)

// WriteTable prints results side by side.
func WriteTable(out io.Writer, results []*Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "policy\thit\twaste\tin time\trefused\tretries\tprobes\tutil\t")
	for c := range config.NumClasses {
		fmt.Fprintf(w, "%s p50\tp95\tp99\t", config.Class(c))
	}
	fmt.Fprintln(w, "share error\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%d\t%.3f\t%.1f\t%.2f\t", r.Policy, r.HitRate(), r.Waste(), r.Goodput(),
			r.Refused(), r.RetryShare(), r.ProbesPerRequest(), max(r.Utilization, r.BatchUtilization))
		for c := range config.NumClasses {
			for _, q := range []float64{0.5, 0.95, 0.99} {
				fmt.Fprintf(w, "%s\t", short(r.Quantile(config.Class(c), q)))
			}
		}
		fmt.Fprintf(w, "%.2f\t\n", r.ShareError())
	}
	return w.Flush()
}

func short(d time.Duration) string {
	switch {
	case d == 0:
		return "-"
	case d < time.Second:
		return fmt.Sprintf("%dms", d.Milliseconds())
	default:
		return fmt.Sprintf("%.2fs", d.Seconds())
	}
}
