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
	Length        time.Duration // when the last request was due
	ByClass       []int         // number of requests, by the number of their class
	Keys          int           // number of different keys
	HottestKey    string        // the key with the most requests, the first in the alphabet of several
	HottestPart   float64       // part of all requests that went to it, from 0 to 1
	BusiestSecond int           // requests in the second with the most
	TornBytes     int64         // of an incomplete last block
}

// Inspect reads a trace to its end.
func Inspect(path string) (Info, error) {
	reader, err := Open(path)
	if err != nil {
		return Info{}, err
	}
	defer func() { _ = reader.Close() }() // it was only read
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
