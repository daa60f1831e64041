package capacity

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/internal/version/key"
)

// Parameters of the configuration measurements.
const (
	keysOfAccount    = 2
	classesOfService = 3
	fixedAccounts    = 100
	fixedServices    = 10
	lookups          = 20000
)

// Configuration measures package configuration by accounts and by services.
func Configuration(w io.Writer) error {
	byAccounts, err := configurationSeries("account with two keys, 10 services", []int{1000, 4000, 16000}, func(i int) (int, int) { return i, fixedServices })
	if err != nil {
		return err
	}
	if err := WriteTable(w, "Configuration by client accounts", byAccounts); err != nil {
		return err
	}
	byServices, err := configurationSeries("service with three classes, 100 accounts", []int{100, 370, 1000}, func(i int) (int, int) { return fixedAccounts, i })
	if err != nil {
		return err
	}
	return WriteTable(w, "Configuration by services", byServices)
}

// configurationSeries measures documents of several sizes.
func configurationSeries(per string, sizes []int, shape func(size int) (accounts, services int)) ([]Series, error) {
	series := []Series{
		{Name: "bytes of the document", Per: per},
		{Name: "heap bytes of the snapshot", Per: per},
		{Name: "processor microseconds to read and check it", Per: per},
		{Name: "bytes allocated meanwhile", Per: per},
		{Name: "processor nanoseconds to look up a key, its account and the class", Per: per},
	}
	for _, size := range sizes {
		accounts, services := shape(size)
		text, secrets, err := newDocument(accounts, services)
		if err != nil {
			return nil, err
		}
		memory, allocated, used := heap(), allocations(), processorTime()
		snapshot, err := configuration.Parse("configuration.ini", []byte(text))
		if err != nil {
			return nil, fmt.Errorf("read configuration: %w", err)
		}
		used = processorTime() - used
		allocated = allocations() - allocated
		memory = heap() - memory
		values := []float64{
			float64(len(text)), memory, float64(used.Microseconds()), allocated,
			float64(lookUp(snapshot, secrets, services).Nanoseconds()) / lookups,
		}
		runtime.KeepAlive(snapshot)
		for i, v := range values {
			series[i].Points = append(series[i].Points, Point{Size: float64(size), Value: v})
		}
	}
	return series, nil
}

// lookUp performs what the entry looks up for each request and returns the
// processor time.
func lookUp(s configuration.Snapshot, secrets []string, services int) time.Duration {
	used := processorTime()
	for i := range lookups {
		if k, ok := s.KeyByHash(key.HashOf(secrets[i%len(secrets)])); ok {
			s.Account(k.Account)
		}
		s.Classify(serviceName(i%services), "POST", "/orders/1")
	}
	return processorTime() - used
}

// newDocument returns a configuration and some of its keys.
func newDocument(accounts, services int) (string, []string, error) {
	var b strings.Builder
	for i := range services {
		fmt.Fprintf(&b, "[service %s]\ncalls = %s\n", serviceName(i), serviceName((i+1)%services))
		for c := range classesOfService {
			fmt.Fprintf(&b, "[class %s-%d]\nservice = %s\npath-prefix = /orders/%d\ntarget = 50ms\nimportance = %d\nidempotent = false\n",
				serviceName(i), c, serviceName(i), c, c+1)
		}
	}
	var secrets []string
	for i := range accounts {
		fmt.Fprintf(&b, "[account account-%06d]\nrate = 100\nburst = 200\n", i)
		for k := range keysOfAccount {
			secret, err := key.Generate()
			if err != nil {
				return "", nil, fmt.Errorf("make key: %w", err)
			}
			secrets = append(secrets, secret)
			fmt.Fprintf(&b, "[key account-%06d-%d]\naccount = account-%06d\nhash = %s\n", i, k, i, key.HashOf(secret))
		}
	}
	b.WriteString("[zone zone-1]\nshare = 1.0\n")
	return b.String(), secrets, nil
}
