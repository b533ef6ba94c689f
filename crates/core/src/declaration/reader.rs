//! Reads the fields of one TOML table into typed values.

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::source::{Location, Parsed};

/// Fields that look like an access key. Keys are granted by command and never kept in files.
const KEY_FIELDS: [&str; 4] = ["key", "keys", "hash", "secret"];

/// Type that a field may have.
pub(super) trait Field: Sized {
    /// What the type accepts, for messages.
    const ACCEPTS: &'static str;

    /// Reads the value, if it fits.
    fn read(value: &DeValue<'_>) -> Option<Self>;
}

impl Field for u64 {
    const ACCEPTS: &'static str = "a whole number from 0";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        let number = value.as_integer()?;
        Self::from_str_radix(number.as_str(), number.radix()).ok()
    }
}

impl Field for u32 {
    const ACCEPTS: &'static str = "a whole number from 0 to 4294967295";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        u64::read(value).and_then(|number| Self::try_from(number).ok())
    }
}

impl Field for bool {
    const ACCEPTS: &'static str = "true or false";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        value.as_bool()
    }
}

impl Field for String {
    const ACCEPTS: &'static str = "a text in quotes";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        value.as_str().map(Self::from)
    }
}

/// Reader of one table.
pub(super) struct Reader<'a, 'i, 'p> {
    table: &'a DeTable<'i>,
    path: String,
    location: Location,
    known: Vec<&'static str>,
    parsed: &'p mut Parsed,
}

impl<'a, 'i, 'p> Reader<'a, 'i, 'p> {
    /// Creates a reader; `location` is where a missing field is reported.
    pub(super) fn new(
        table: &'a DeTable<'i>,
        path: String,
        location: Location,
        parsed: &'p mut Parsed,
    ) -> Self {
        Self { table, path, location, known: Vec::new(), parsed }
    }

    /// Value of a field, of any type.
    pub(super) fn value(&mut self, name: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        self.known.push(name);
        self.table.get(name)
    }

    /// Sets a field if it is present. Returns true if it is present.
    pub(super) fn set<T: Field>(&mut self, name: &'static str, target: &mut T) -> bool {
        let Some(value) = self.value(name) else {
            return false;
        };
        let path = self.path_of(name);
        let location = Location { file: self.location.file, span: value.span() };
        if !self.parsed.claim(&path, location.clone()) {
            return true;
        }
        match T::read(value.get_ref()) {
            Some(read) => *target = read,
            None => self.parsed.report(path, wrong_type::<T>(value.get_ref()), location),
        }
        true
    }

    /// Sets an optional field if it is present.
    pub(super) fn set_some<T: Field + Default>(&mut self, name: &'static str, target: &mut Option<T>) {
        let mut value = T::default();
        if self.set(name, &mut value) {
            *target = Some(value);
        }
    }

    /// Sets a field that must be present.
    pub(super) fn require<T: Field>(&mut self, name: &'static str, target: &mut T) {
        if !self.set(name, target) {
            let path = self.path_of(name);
            self.parsed.report(path, "is missing", self.location.clone());
        }
    }

    /// Reports the fields that nothing asked for.
    pub(super) fn finish(self) {
        for (name, _) in self.table {
            let name_text: &str = name.get_ref();
            if self.known.contains(&name_text) {
                continue;
            }
            let message = if KEY_FIELDS.contains(&name_text) {
                "access keys are never in a file; use `rattanctl keys grant`".to_owned()
            } else {
                format!("is not a known field; known are {}", self.known.join(", "))
            };
            let path = self.path_of(name_text);
            let location = Location { file: self.location.file, span: name.span() };
            self.parsed.report(path, message, location);
        }
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }
}

fn wrong_type<T: Field>(value: &DeValue<'_>) -> String {
    match value {
        DeValue::Integer(number) => format!("must be {}, found {}", T::ACCEPTS, number.as_str()),
        other => format!("must be {}, found {}", T::ACCEPTS, other.type_str()),
    }
}
