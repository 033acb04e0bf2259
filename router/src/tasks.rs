//! The tasks of the one thread. A task that panics costs what it was at work on, and nothing else.

use std::panic::AssertUnwindSafe;

use async_executor::LocalExecutor;
use futures_lite::FutureExt;

#[derive(Clone, Copy)]
pub struct Tasks(&'static LocalExecutor<'static>);

impl Default for Tasks {
    /// The executor lives as long as the process.
    fn default() -> Self {
        Self(Box::leak(Box::default()))
    }
}

impl Tasks {
    pub fn start(self, work: impl Future<Output = ()> + 'static) {
        let guarded = AssertUnwindSafe(work).catch_unwind();
        self.0
            .spawn(async move {
                if guarded.await.is_err() {
                    log::error!("a task panicked");
                }
            })
            .detach();
    }

    pub async fn run<T>(self, main: impl Future<Output = T>) -> T {
        self.0.run(main).await
    }
}
