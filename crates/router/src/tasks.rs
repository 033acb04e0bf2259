//! The tasks of the one thread. The executor keeps the panic of a task to that task: it costs what the task
//! was at work on, which tells of its end by what it owned, and nothing else.

use async_executor::LocalExecutor;

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
