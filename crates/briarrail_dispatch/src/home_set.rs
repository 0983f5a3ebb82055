//! Data centres in which a request may run.

use briarrail_model::DataCentre;

/// The data centres in which a request may run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HomeSet {
    /// In ascending order, without duplicates.
    data_centres: Vec<DataCentre>,
}

impl HomeSet {
    /// Returns whether a request may run in the data centre.
    #[must_use]
    pub fn contains(&self, data_centre: &DataCentre) -> bool {
        self.data_centres.binary_search(data_centre).is_ok()
    }

    /// Returns whether the request may run nowhere.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.data_centres.is_empty()
    }
}

impl FromIterator<DataCentre> for HomeSet {
    fn from_iter<I>(data_centres: I) -> Self
    where
        I: IntoIterator<Item = DataCentre>,
    {
        let mut data_centres: Vec<DataCentre> = data_centres.into_iter().collect();
        data_centres.sort();
        data_centres.dedup();
        Self { data_centres }
    }
}
