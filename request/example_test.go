package request_test

import (
	"fmt"
	"time"

	"github.com/rattanthread/rattanthread/request"
)

func ExampleParseKey() {
	key, err := request.ParseKey("tainan/019ca945-105b-745c-b7e3-424968ee179d")
	fmt.Println(key.DataCentre, key.Issued().UTC().Format(time.RFC3339), err)
	_, err = request.ParseKey("019ca945-105b-445c-b7e3-424968ee179d")
	fmt.Println(err)
	// Output:
	// tainan 2026-03-01T12:00:01Z <nil>
	// parse key: UUID of version 4, want 7
}

func ExampleBudget() {
	var budget request.Budget // one retry per ten first attempts
	retries := 0
	for range 100 {
		budget.Deposit()
		if budget.Withdraw() {
			retries++
		}
	}
	fmt.Println(retries)
	// Output: 10
}

func ExampleBackoff_Delay() {
	backoff := request.Backoff{Base: 20 * time.Millisecond, Max: 100 * time.Millisecond}
	for attempts := 1; attempts <= 4; attempts++ {
		fmt.Println(backoff.Delay(attempts, 0.5))
	}
	// Output:
	// 10ms
	// 20ms
	// 40ms
	// 50ms
}

func ExampleRetries_Next() {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	var retries request.Retries
	budget := &request.Budget{Ratio: 1}
	budget.Deposit()
	failure := request.Failure{Attempts: 1, Deadline: now.Add(time.Second)}
	_, reason, retry := retries.Next(now, failure, budget, 0.5)
	fmt.Println(retry, reason)
	failure.NotRun = true
	delay, reason, retry := retries.Next(now, failure, budget, 0.5)
	fmt.Println(retry, reason, delay)
	_, reason, retry = retries.Next(now, failure, budget, 0.5)
	fmt.Println(retry, reason)
	// Output:
	// false not_retryable
	// true not_run 10ms
	// false retry_budget
}
