package rowemulator

import (
	"context"
	"slices"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// PutObject implements rowstore.Objects.
func (s *Store) PutObject(_ context.Context, name string, body []byte) error {
	done, fault := s.checkCall(Call{Write: true, Object: name})
	if !done {
		return fault
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = slices.Clone(body)
	return fault
}

// GetObject implements rowstore.Objects.
func (s *Store) GetObject(_ context.Context, name string) ([]byte, error) {
	if done, err := s.checkCall(Call{Object: name}); !done || err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body, found := s.objects[name]
	if !found {
		return nil, rowstore.ErrNotFound
	}
	return slices.Clone(body), nil
}

// DeleteObject implements rowstore.Objects.
func (s *Store) DeleteObject(_ context.Context, name string) error {
	done, fault := s.checkCall(Call{Write: true, Object: name})
	if !done {
		return fault
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return fault
}
