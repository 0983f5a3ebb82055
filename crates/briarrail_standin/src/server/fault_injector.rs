//! Switches of faults.

use tokio::sync::watch;

/// Holds the faults of a stand-in; every change wakes whoever waits on them.
#[derive(Debug, Clone)]
pub struct FaultInjector<F> {
    sender: watch::Sender<F>,
}

impl<F> FaultInjector<F>
where
    F: Clone,
{
    pub(crate) fn new(faults: F) -> Self {
        let (sender, _) = watch::channel(faults);
        Self { sender }
    }

    /// Returns the faults of now.
    #[must_use]
    pub fn get(&self) -> F {
        self.sender.borrow().clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: F) {
        self.sender.send_replace(faults);
    }

    /// Changes some of the faults.
    pub fn update<U>(&self, change: U)
    where
        U: FnOnce(&mut F),
    {
        self.sender.send_modify(change);
    }

    /// Returns whether a counted fault strikes, and counts it down by one.
    pub(crate) fn take<S>(&self, select: S) -> bool
    where
        S: FnOnce(&mut F) -> &mut u32,
    {
        self.sender.send_if_modified(|faults| {
            let count = select(faults);
            let strikes = *count > 0;
            *count = count.saturating_sub(1);
            strikes
        })
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<F> {
        self.sender.subscribe()
    }
}
