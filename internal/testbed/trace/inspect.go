package trace

import (
	"errors"
	"io"
	"time"

	"shelfproxy/internal/testbed/workload"
)

// Info describes the content of a trace.
type Info struct {
	Meta          Meta
	Requests      int
	Length        time.Duration // time at which the last request was due
	ByClass       []int         // number of requests of each class, by class number
	Keys          int           // number of distinct keys
	HottestKey    string        // key with the most requests; if several keys tie, the first of them in alphabetical order
	HottestPart   float64       // fraction of all requests that have the hottest key, from 0 to 1
	BusiestSecond int           // number of requests in the second with the most requests
	TornBytes     int64         // size of an incomplete last block; 0 if the last block is complete
}

// Inspect reads a whole trace and describes its content.
func Inspect(path string) (Info, error) {
	reader, err := Open(path)
	if err != nil {
		return Info{}, err
	}
	defer func() { _ = reader.Close() }() // the file was only read, so an error of Close does not matter
	info := Info{Meta: reader.Meta, ByClass: make([]int, len(reader.Meta.Classes))}
	byKey, bySecond := map[string]int{}, map[time.Duration]int{}
	for {
		arrival, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return info, err
		}
		info.add(arrival)
		byKey[arrival.Key]++
		bySecond[arrival.At.Truncate(time.Second)]++
	}
	info.TornBytes = reader.Torn()
	info.setHottestKey(byKey)
	for _, requests := range bySecond {
		info.BusiestSecond = max(info.BusiestSecond, requests)
	}
	return info, nil
}

func (i *Info) add(arrival workload.Arrival) {
	i.Requests++
	i.Length = max(i.Length, arrival.At)
	i.ByClass[arrival.Class]++
}

func (i *Info) setHottestKey(requestsByKey map[string]int) {
	i.Keys = len(requestsByKey)
	most := 0
	for key, requests := range requestsByKey {
		if requests > most || requests == most && key < i.HottestKey {
			most, i.HottestKey = requests, key
		}
	}
	i.HottestPart = float64(most) / float64(max(1, i.Requests))
}
