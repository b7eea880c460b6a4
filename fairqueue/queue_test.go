package fairqueue_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/hoistjunction/hoistjunction/fairqueue"
	"github.com/hoistjunction/hoistjunction/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestSharesAreProportionalToWeights(t *testing.T) {
	q := fairqueue.New[string]()
	for range 300 {
		q.Push("heavy", fairqueue.WithAccount("heavy", 3))
		q.Push("light", fairqueue.WithAccount("light", 1))
	}
	served := make(map[string]int)
	for range 200 {
		item, _ := q.Pop()
		served[item]++
	}
	if got := served["heavy"]; got < 148 || got > 152 {
		t.Errorf("got %d of 200 items for weight 3 against weight 1, want 148 to 152", got)
	}
}

func TestNewAccountIsServedBeforeBacklog(t *testing.T) {
	q := fairqueue.New[string]()
	for range 1000 {
		q.Push("flood", fairqueue.WithAccount("flood", 1))
	}
	for range 100 {
		q.Pop()
	}
	q.Push("small", fairqueue.WithAccount("small", 1))
	for i := range 3 {
		if item, _ := q.Pop(); item == "small" {
			return
		} else if i == 2 {
			t.Error("got three items of the flooding account before the item of the small account, want at most two")
		}
	}
}

func TestHigherPriorityIsServedFirst(t *testing.T) {
	q := fairqueue.New[int]()
	for p := 9; p >= 0; p-- {
		q.Push(p, fairqueue.WithPriority(p))
	}
	for want := range 10 {
		if got, _ := q.Pop(); got != want {
			t.Errorf("got priority %d, want %d", got, want)
		}
	}
}

// TestQueueKeepsAllItemsInAccountOrder pushes, pops and removes items at random. It
// fails if the queue loses an item, or pops the items of an account out of order.
func TestQueueKeepsAllItemsInAccountOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[[2]int]()
		waiting := make(map[int][]int)
		nextItem, length := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				account := rapid.IntRange(0, 4).Draw(t, "account")
				q.Push([2]int{account, nextItem}, fairqueue.WithAccount(fmt.Sprint(account), float64(account+1)),
					fairqueue.WithCost(float64(rapid.IntRange(1, 50).Draw(t, "cost"))))
				waiting[account] = append(waiting[account], nextItem)
				nextItem++
				length++
			case 3, 4:
				item, ok := q.Pop()
				if ok != (length > 0) {
					t.Fatalf("got ok %v from Pop on a queue of %d items, want the opposite", ok, length)
				}
				if !ok {
					continue
				}
				if first := waiting[item[0]][0]; first != item[1] {
					t.Fatalf("got item %d of account %d, want item %d", item[1], item[0], first)
				}
				waiting[item[0]] = waiting[item[0]][1:]
				length--
			case 5:
				removed := rapid.IntRange(0, 4).Draw(t, "dropped")
				q.RemoveIf(func(item [2]int) bool { return item[0] == removed })
				length -= len(waiting[removed])
				waiting[removed] = nil
			}
			if q.Len() != length {
				t.Fatalf("got length %d, want %d", q.Len(), length)
			}
		}
	})
}
