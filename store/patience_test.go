package store

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPatienceFollowsTheAnswers(t *testing.T) {
	is := is.New(t)
	p := &Patience{}
	is.Equal(p.LateAfter(), leastPatience)
	p.GivenUp()
	is.Equal(p.LateAfter(), 2*leastPatience)
	p.Answered(10 * time.Millisecond)
	is.Equal(p.LateAfter(), leastPatience)
	for range 20 {
		p.Answered(100 * time.Millisecond)
	}
	is.True(p.LateAfter() > 2*leastPatience) // transactions are slow
	for range 20 {
		p.GivenUp()
	}
	is.Equal(p.LateAfter(), mostPatience)
}
