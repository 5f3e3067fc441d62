package engineemulator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// serveOrder brings the engine to the ordered state. An engine that checks
// fencing numbers refuses an order older than one that it has taken, also when
// the older one has waited for the weight store in the meantime.
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

// acceptOrder returns how many models must be fetched for the order.
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
