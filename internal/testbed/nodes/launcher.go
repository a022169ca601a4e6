package nodes

import (
	"runtime"
	"sync"
)

// launcher runs functions on one thread that lives as long as the program. The kernel kills a child that has Pdeathsig when
// the thread that started the child ends. The Go runtime may end any thread that is not locked to a goroutine.
var launcher = struct {
	once  sync.Once
	calls chan func() // never closed
}{calls: make(chan func())}

// runOnLauncherThread calls f on the launcher's thread and waits until it returns.
func runOnLauncherThread(f func()) {
	launcher.once.Do(func() {
		go func() { // the goroutine ends with the program
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
