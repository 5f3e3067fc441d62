package engineemulator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// serveOrder loads the ordered models and sets the ordered role. An engine that
// checks fencing numbers rejects an order older than the newest that it has accepted,
// also if that one was accepted while the older one was loading models.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order upstream.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	missing, fresh := e.acceptOrder(order)
	if !fresh {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	for range missing {
		time.Sleep(e.loadTime)
	}
	if !e.applyOrder(order) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// acceptOrder returns the number of models that the order requires to be loaded, and
// false if its fencing number is old.
func (e *Engine) acceptOrder(order upstream.Order) (missing int, fresh bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkFencing && order.Fencing < e.fencing {
		return 0, false
	}
	e.fencing = max(e.fencing, order.Fencing)
	for _, model := range order.Models {
		if !e.hasVersion(model) {
			missing++
		}
	}
	return missing, true
}

func (e *Engine) hasVersion(wanted upstream.LoadedModel) bool {
	for _, model := range e.loaded {
		if model.Name == wanted.Name && model.Version == wanted.Version {
			return true
		}
	}
	return false
}

func (e *Engine) applyOrder(order upstream.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkFencing && order.Fencing < e.fencing {
		return false
	}
	e.counts.Orders++
	e.loaded = order.Models
	e.role = order.Role
	return true
}
