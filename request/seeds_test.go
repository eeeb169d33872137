package request_test

import (
	"os"
	"strconv"
)

// seeds returns how many seeds to run: SEEDS from the environment, or fallback.
func seeds(fallback int) int {
	n, err := strconv.Atoi(os.Getenv("SEEDS"))
	if err != nil || n < 1 {
		return fallback
	}
	return n
}
