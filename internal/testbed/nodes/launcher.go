package nodes

import (
	"runtime"
	"sync"
)

// launcher runs functions on one thread that lives as long as the program. The kernel ends a child with Pdeathsig when the
// thread that started it ends, which may happen to any other thread of the Go runtime.
var launcher = struct {
	once  sync.Once
	calls chan func() // never closed
}{calls: make(chan func())}

// runOnLauncherThread calls f on the launcher's thread and waits until it returns.
func runOnLauncherThread(f func()) {
	launcher.once.Do(func() {
		go func() { // ends with the program
			runtime.LockOSThread()
			for call := range launcher.calls {
				call()
			}
		}()
	})
	done := make(chan struct{})
	launcher.calls <- func() {
		defer close(done)
		f()
	}
	<-done
}
