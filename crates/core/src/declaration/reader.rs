//! Reads the fields of one TOML table into typed values.

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::source::{Location, Parsed};

/// Field names that suggest an access key. Keys are granted by command and must not be kept in files.
const SECRET_FIELDS: [&str; 4] = ["key", "keys", "hash", "secret"];

/// Type of a field's value.
pub(super) trait FieldValue: Sized {
    /// Description of the accepted values, for error messages.
    const ACCEPTS: &'static str;

    /// Converts a TOML value; none if it has another type or is out of range.
    fn read(value: &DeValue<'_>) -> Option<Self>;
}

impl FieldValue for u64 {
    const ACCEPTS: &'static str = "a whole number from 0";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        let number = value.as_integer()?;
        Self::from_str_radix(number.as_str(), number.radix()).ok()
    }
}

impl FieldValue for u32 {
    const ACCEPTS: &'static str = "a whole number from 0 to 4294967295";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        u64::read(value).and_then(|number| Self::try_from(number).ok())
    }
}

impl FieldValue for bool {
    const ACCEPTS: &'static str = "true or false";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        value.as_bool()
    }
}

impl FieldValue for String {
    const ACCEPTS: &'static str = "a text in quotes";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        value.as_str().map(Self::from)
    }
}

/// Reads one table and reports its problems to the parsed declaration.
pub(super) struct TableReader<'a, 'i, 'p> {
    table: &'a DeTable<'i>,
    path: String,
    location: Location,
    known: Vec<&'static str>,
    parsed: &'p mut Parsed,
}

impl<'a, 'i, 'p> TableReader<'a, 'i, 'p> {
    /// Creates a reader; `location` is where a missing field is reported.
    pub(super) fn new(
        table: &'a DeTable<'i>,
        path: String,
        location: Location,
        parsed: &'p mut Parsed,
    ) -> Self {
        Self { table, path, location, known: Vec::new(), parsed }
    }

    /// Returns the value of a field, of any type, and marks the field as known.
    pub(super) fn value(&mut self, name: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        self.known.push(name);
        self.table.get(name)
    }

    /// Reads a field into `target` if it is present. Returns whether it is present.
    pub(super) fn set<T: FieldValue>(&mut self, name: &'static str, target: &mut T) -> bool {
        let Some(value) = self.value(name) else {
            return false;
        };
        let path = self.field_path(name);
        let location = Location { file: self.location.file, span: value.span() };
        if !self.parsed.record_location(&path, location.clone()) {
            return true;
        }
        match T::read(value.get_ref()) {
            Some(read) => *target = read,
            None => self.parsed.report(path, wrong_type::<T>(value.get_ref()), location),
        }
        true
    }

    /// Reads an optional field into `target` if it is present.
    pub(super) fn set_optional<T: FieldValue + Default>(
        &mut self,
        name: &'static str,
        target: &mut Option<T>,
    ) {
        let mut value = T::default();
        if self.set(name, &mut value) {
            *target = Some(value);
        }
    }

    /// Reads a field into `target`; reports a problem if it is missing.
    pub(super) fn require<T: FieldValue>(&mut self, name: &'static str, target: &mut T) {
        if !self.set(name, target) {
            let path = self.field_path(name);
            self.parsed.report(path, "is missing", self.location.clone());
        }
    }

    /// Reports the fields of the table that no call has read.
    pub(super) fn finish(self) {
        for (name, _) in self.table {
            let name_text: &str = name.get_ref();
            if self.known.contains(&name_text) {
                continue;
            }
            let message = if SECRET_FIELDS.contains(&name_text) {
                "access keys are never in a file; use `rattanctl keys grant`".to_owned()
            } else {
                format!("is not a known field; known are {}", self.known.join(", "))
            };
            let path = self.field_path(name_text);
            let location = Location { file: self.location.file, span: name.span() };
            self.parsed.report(path, message, location);
        }
    }

    fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }
}

fn wrong_type<T: FieldValue>(value: &DeValue<'_>) -> String {
    match value {
        DeValue::Integer(number) => format!("must be {}, found {}", T::ACCEPTS, number.as_str()),
        other => format!("must be {}, found {}", T::ACCEPTS, other.type_str()),
    }
}
