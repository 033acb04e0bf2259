//! The tasks of the one thread. The executor confines a panic to its task: only the work of that task is
//! lost, and the values that the task owned report its end when they are dropped.

use async_executor::LocalExecutor;

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

    pub async fn run<T>(self, main: impl Future<Output = T>) -> T {
        self.0.run(main).await
    }
}
