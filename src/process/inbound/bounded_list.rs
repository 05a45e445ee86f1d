//! Decodes lists whose items take more memory than their text.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;

struct ListVisitor<T, const MAX: usize> {
    item: PhantomData<T>,
}

impl<'de, T: Deserialize<'de>, const MAX: usize> Visitor<'de> for ListVisitor<T, MAX> {
    type Value = Vec<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a list of at most {MAX} items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Vec<T>, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            if list.len() == MAX {
                return Err(A::Error::invalid_length(MAX + 1, &self));
            }
            list.push(item);
        }
        Ok(list)
    }
}

/// Decodes a list of at most `MAX` items, for `deserialize_with`. Fails at the first item beyond.
///
/// # Errors
///
/// Those of the items, and that there are too many.
///
/// ```
/// use greengagearch::process::inbound::bounded_list::bounded_list;
/// use serde::Deserialize;
///
/// #[derive(Deserialize)]
/// struct Job {
///     #[serde(deserialize_with = "bounded_list::<_, _, 2>")]
///     steps: Vec<u32>,
/// }
///
/// let job: Job = serde_json::from_str(r#"{"steps":[1,2]}"#).unwrap();
/// assert_eq!(job.steps, [1, 2]);
/// assert!(serde_json::from_str::<Job>(r#"{"steps":[1,2,3]}"#).is_err());
/// ```
pub fn bounded_list<'de, D, T, const MAX: usize>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(ListVisitor::<T, MAX> { item: PhantomData })
}
