package configlog

import (
	"testing"

	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
