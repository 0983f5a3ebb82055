//! Fault injection.

use tokio::sync::watch;

/// Holds the faults that a stand-in injects, and notifies subscribers of each change.
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

    /// Returns the current faults.
    #[must_use]
    pub fn get(&self) -> F {
        self.sender.borrow().clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: F) {
        self.sender.send_replace(faults);
    }

    /// Modifies the faults in place.
    pub fn update<U>(&self, change: U)
    where
        U: FnOnce(&mut F),
    {
        self.sender.send_modify(change);
    }

    /// Decrements a fault counter, and returns whether it was above zero.
    ///
    /// Subscribers are notified only if it was.
    pub(crate) fn consume<S>(&self, select: S) -> bool
    where
        S: FnOnce(&mut F) -> &mut u32,
    {
        self.sender.send_if_modified(|faults| {
            let count = select(faults);
            let is_active = *count > 0;
            *count = count.saturating_sub(1);
            is_active
        })
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<F> {
        self.sender.subscribe()
    }
}
