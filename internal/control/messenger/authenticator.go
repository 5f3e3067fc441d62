package messenger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
)

// headerFrom is the header with the ID of the VM that opens a connection.
const headerFrom = "X-Fescuespindle-From"

// Authenticator proves to the VMs of a fleet that a connection comes from one of them, which know
// a secret.
type Authenticator struct {
	secret []byte
}

// NewAuthenticator returns the Authenticator of a fleet.
func NewAuthenticator(secret []byte) *Authenticator { return &Authenticator{secret: secret} }

// Header returns the header fields of a request of a VM.
func (a *Authenticator) Header(vm string) http.Header {
	header := http.Header{}
	header.Set(headerFrom, vm)
	header.Set("Authorization", a.authorization(vm))
	return header
}

// authorization returns the Authorization header that proves that a VM knows the
// fleet's secret.
func (a *Authenticator) authorization(vm string) string {
	mac := hmac.New(sha256.New, a.secret)
	mac.Write([]byte(vm))
	return "Bearer " + hex.EncodeToString(mac.Sum(nil))
}

// Require returns a handler that passes on the requests of VMs of the fleet only.
func (a *Authenticator) Require(counter Counter, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := r.Header.Get(headerFrom)
		if !hmac.Equal([]byte(r.Header.Get("Authorization")), []byte(a.authorization(from))) {
			counter.Add("peer_unauthorized_total", 1)
			http.Error(w, "unknown peer", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
