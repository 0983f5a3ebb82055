//! Customers and their weights.

use std::str::FromStr;

use thiserror::Error;

/// Customers, each with its part of the chats.
///
/// ```
/// use briarload::CustomerMix;
///
/// let mix: CustomerMix = "mill:3,pier:1".parse()?;
/// assert_eq!(mix.customer(2), "mill");
/// assert_eq!(mix.customer(3), "pier");
/// # Ok::<(), briarload::CustomerMixError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerMix {
    parts: Vec<(String, u64)>,
}

/// A list of customers that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} is not NAME:WEIGHT with a weight from 1")]
pub struct CustomerMixError(String);

impl CustomerMix {
    /// Returns the customer of a number; numbers are taken in proportion to the weights.
    #[must_use]
    pub fn customer(&self, number: u64) -> &str {
        let total: u64 = self.parts.iter().map(|(_, weight)| weight).sum();
        let mut rest = number % total.max(1);
        for (name, weight) in &self.parts {
            if rest < *weight {
                return name;
            }
            rest -= weight;
        }
        ""
    }
}

impl Default for CustomerMix {
    /// Returns ten customers, two of them large.
    fn default() -> Self {
        let weight = |number: u64| if number < 2 { 8 } else { 1 };
        let parts = (0..10).map(|number| (format!("customer-{number}"), weight(number)));
        Self {
            parts: parts.collect(),
        }
    }
}

impl FromStr for CustomerMix {
    type Err = CustomerMixError;

    fn from_str(text: &str) -> Result<Self, CustomerMixError> {
        let parts: Result<Vec<_>, _> = text.split(',').map(read_part).collect();
        Ok(Self { parts: parts? })
    }
}

fn read_part(text: &str) -> Result<(String, u64), CustomerMixError> {
    let error = || CustomerMixError(text.to_owned());
    let (name, weight) = text.split_once(':').ok_or_else(error)?;
    let weight = weight.parse().ok().filter(|&weight| weight > 0);
    Ok((name.to_owned(), weight.ok_or_else(error)?))
}
