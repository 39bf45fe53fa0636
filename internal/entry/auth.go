package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/toucanwell/toucanwell/api/caller/oas"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
)

const workspaceKey contextKey = 1

// security implements oas.SecurityHandler.
type security struct{ *Entry }

// HandleWorkspaceToken implements oas.SecurityHandler.
func (s *security) HandleWorkspaceToken(ctx context.Context, _ oas.OperationName, t oas.WorkspaceToken) (context.Context, error) {
	workspace, refusal := s.authenticate(t.Token)
	if refusal != nil {
		return ctx, refusal
	}
	return context.WithValue(ctx, workspaceKey, workspace), nil
}

func workspaceOf(ctx context.Context) *config.Workspace {
	w, _ := ctx.Value(workspaceKey).(*config.Workspace)
	return w
}

// authenticate finds the workspace of a token by the token's SHA-256 digest. Digests are
// compared in constant time.
func (e *Entry) authenticate(token string) (*config.Workspace, *errkind.Error) {
	c, _, ok := e.current()
	if !ok {
		return nil, errkind.NewRetryAfter(errkind.ConfigurationMissing, suspectDuration, "")
	}
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	w := c.WorkspaceByTokenDigest(digest)
	if w == nil || subtle.ConstantTimeCompare([]byte(strings.ToLower(w.TokenSHA256)), []byte(digest)) != 1 {
		return nil, errkind.New(errkind.UnknownWorkspace, "")
	}
	return w, nil
}

// bearerToken returns the token of a request that bypasses the generated server.
func bearerToken(r *http.Request) (string, *errkind.Error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", errkind.New(errkind.Unauthenticated, "send Authorization: Bearer TOKEN")
	}
	return token, nil
}
