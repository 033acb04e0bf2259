//! The tasks of the one thread. The executor confines a panic to its task: only the work of that task is
//! lost, and the values that the task owned report its end when they are dropped.

use async_executor::LocalExecutor;
use futures_lite::{FutureExt, future};

/// Number of polls of tasks after which the event loop asks for ready sockets and expired timers again. An
/// executor that runs hundreds of tasks in between reads withdrawals and list changes late.
const MAX_POLLS_PER_ROUND: usize = 16;

/// A handle of the thread's executor.
#[derive(Clone, Copy)]
pub struct Tasks(&'static LocalExecutor<'static>);

impl Default for Tasks {
    /// The executor lives as long as the process.
    fn default() -> Self {
        Self(Box::leak(Box::default()))
    }
}

impl Tasks {
    pub fn spawn(self, work: impl Future<Output = ()> + 'static) {
        self.0.spawn(work).detach();
    }

    /// Runs the tasks until `main` is complete.
    pub async fn run<T>(self, main: impl Future<Output = T>) -> T {
        let run_tasks = async {
            loop {
                for _ in 0..MAX_POLLS_PER_ROUND {
                    self.0.tick().await;
                }
                future::yield_now().await;
            }
        };
        main.or(run_tasks).await
    }
}
