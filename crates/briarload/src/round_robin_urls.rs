//! Round-robin list of base URLs.

use std::sync::{Arc, Mutex};

/// Base URLs in round-robin order. Clones share the list, so that it can be replaced under load.
///
/// ```
/// use briarload::RoundRobinUrls;
///
/// let urls = RoundRobinUrls::new(["http://a", "http://b"]);
/// assert_eq!(urls.next_url().as_deref(), Some("http://a"));
/// assert_eq!(urls.next_url().as_deref(), Some("http://b"));
/// urls.replace(Vec::new());
/// assert_eq!(urls.next_url(), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RoundRobinUrls {
    state: Arc<Mutex<RotationState>>,
}

#[derive(Debug, Default)]
struct RotationState {
    urls: Vec<String>,
    next: usize,
}

impl RoundRobinUrls {
    /// Creates a list of base URLs.
    #[must_use]
    pub fn new<I, U>(urls: I) -> Self
    where
        I: IntoIterator<Item = U>,
        U: Into<String>,
    {
        let rotation = Self::default();
        rotation.replace(urls.into_iter().map(Into::into).collect());
        rotation
    }

    /// Returns the next URL, or `None` if the list is empty, which ends a load.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    #[must_use]
    pub fn next_url(&self) -> Option<String> {
        let mut state = self.state.lock().expect("the mutex is not poisoned");
        let count = state.urls.len();
        let index = state.next.checked_rem(count)?;
        state.next = index + 1;
        Some(state.urls[index].clone())
    }

    /// Replaces the URLs.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn replace(&self, urls: Vec<String>) {
        self.state.lock().expect("the mutex is not poisoned").urls = urls;
    }
}
