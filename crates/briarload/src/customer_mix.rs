//! Weighted distribution of customers.

use std::str::FromStr;

use thiserror::Error;

/// Customers, each with a weight that determines its share.
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
    weighted_names: Vec<(String, u64)>,
}

/// A malformed list of customers.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} is not NAME:WEIGHT with an integer weight of at least 1")]
pub struct CustomerMixError(String);

impl CustomerMix {
    /// Maps a number to a customer; consecutive numbers follow the weights.
    #[must_use]
    pub fn customer(&self, number: u64) -> &str {
        let total: u64 = self.weighted_names.iter().map(|(_, weight)| weight).sum();
        let mut remainder = number % total.max(1);
        for (name, weight) in &self.weighted_names {
            if remainder < *weight {
                return name;
            }
            remainder -= weight;
        }
        ""
    }
}

impl Default for CustomerMix {
    /// Returns ten customers, two of which have eight times the weight of the others.
    fn default() -> Self {
        let weight = |number: u64| if number < 2 { 8 } else { 1 };
        let weighted_names = (0..10).map(|number| (format!("customer-{number}"), weight(number)));
        Self {
            weighted_names: weighted_names.collect(),
        }
    }
}

impl FromStr for CustomerMix {
    type Err = CustomerMixError;

    fn from_str(text: &str) -> Result<Self, CustomerMixError> {
        let weighted_names: Result<Vec<_>, _> = text.split(',').map(parse_weighted_name).collect();
        Ok(Self {
            weighted_names: weighted_names?,
        })
    }
}

fn parse_weighted_name(text: &str) -> Result<(String, u64), CustomerMixError> {
    let error = || CustomerMixError(text.to_owned());
    let (name, weight) = text.split_once(':').ok_or_else(error)?;
    let weight = weight.parse().ok().filter(|&weight| weight > 0);
    Ok((name.to_owned(), weight.ok_or_else(error)?))
}
