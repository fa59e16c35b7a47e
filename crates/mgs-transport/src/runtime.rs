//! The threads that drive connections.

use std::io;
use std::sync::Arc;

use tokio::runtime::Builder;
use tokio::runtime::Handle;

/// Settings of a runtime.
#[derive(Debug, Clone)]
pub struct Options {
    /// Threads that drive connections.
    pub threads: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { threads: 2 }
    }
}

/// The threads that drive connections; clones share them.
#[derive(Debug, Clone)]
pub struct Runtime {
    inner: Arc<Inner>,
}

/// Stops the threads without waiting for them, so that it may be dropped anywhere.
#[derive(Debug)]
struct Inner {
    runtime: Option<tokio::runtime::Runtime>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Runtime {
    /// Starts the threads.
    ///
    /// ```
    /// use mgs_transport::runtime::Options;
    /// use mgs_transport::runtime::Runtime;
    ///
    /// let runtime = Runtime::new(&Options { threads: 1, ..Options::default() }).unwrap();
    /// ```
    pub fn new(options: &Options) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(options.threads)
            .thread_name("transport")
            .enable_io()
            .enable_time()
            .build()?;
        Ok(Self {
            inner: Arc::new(Inner {
                runtime: Some(runtime),
            }),
        })
    }

    pub(crate) fn handle(&self) -> Handle {
        match &self.inner.runtime {
            Some(runtime) => runtime.handle().clone(),
            None => unreachable!("the runtime is taken only when it is dropped"),
        }
    }
}
