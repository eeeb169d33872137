package request_test

import (
	"os"
	"strconv"
)

// seeds returns the number of seeds to run: the value of SEEDS in the environment,
// or fallback.
func seeds(fallback int) int {
	n, err := strconv.Atoi(os.Getenv("SEEDS"))
	if err != nil || n < 1 {
		return fallback
	}
	return n
}
