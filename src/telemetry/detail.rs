//! Named values of a log line, such as the inputs and outcome of a decision.

use std::fmt;
use std::net::SocketAddr;

use log::kv;

use crate::prelude::*;

/// One value on a log line.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// Text.
    Text(String),
    /// An unsigned integer.
    Integer(u64),
    /// A floating-point number.
    Float(f64),
    /// A boolean.
    Bool(bool),
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Integer(number)
    }
}

impl From<u32> for Value {
    fn from(number: u32) -> Self {
        Self::Integer(u64::from(number))
    }
}

impl From<usize> for Value {
    fn from(number: usize) -> Self {
        Self::Integer(number as u64)
    }
}

impl From<f64> for Value {
    fn from(number: f64) -> Self {
        Self::Float(number)
    }
}

impl From<bool> for Value {
    fn from(flag: bool) -> Self {
        Self::Bool(flag)
    }
}

impl From<Duration> for Value {
    /// Converts to whole milliseconds.
    fn from(time: Duration) -> Self {
        Self::Integer(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
    }
}

impl From<SocketAddr> for Value {
    fn from(address: SocketAddr) -> Self {
        Self::Text(address.to_string())
    }
}

impl kv::ToValue for Value {
    fn to_value(&self) -> kv::Value<'_> {
        match self {
            Self::Text(text) => kv::Value::from(text.as_str()),
            Self::Integer(number) => kv::Value::from(*number),
            Self::Float(number) => kv::Value::from(*number),
            Self::Bool(flag) => kv::Value::from(*flag),
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => f.write_str(text),
            Self::Integer(number) => number.fmt(f),
            Self::Float(number) => number.fmt(f),
            Self::Bool(flag) => flag.fmt(f),
        }
    }
}

/// Named values of a log line, in insertion order.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Detail(Vec<(&'static str, Value)>);

impl Detail {
    /// Creates a detail without values.
    pub fn none() -> Self {
        Self::default()
    }

    /// Creates a detail with one value.
    ///
    /// ```
    /// use cardamomvalve::telemetry::Detail;
    /// let detail = Detail::of("server", "s-1").and("running", 3_u32);
    /// assert_eq!(detail.to_string(), "server=s-1 running=3");
    /// ```
    pub fn of(name: &'static str, value: impl Into<Value>) -> Self {
        Self::none().and(name, value)
    }

    /// Adds a value.
    #[must_use]
    pub fn and(mut self, name: &'static str, value: impl Into<Value>) -> Self {
        self.0.push((name, value.into()));
        self
    }

    /// Adds a value if it is `Some`.
    #[must_use]
    pub fn and_some(self, name: &'static str, value: Option<impl Into<Value>>) -> Self {
        match value {
            Some(value) => self.and(name, value),
            None => self,
        }
    }
}

impl kv::Source for Detail {
    fn visit<'kvs>(
        &'kvs self,
        visitor: &mut dyn kv::VisitSource<'kvs>,
    ) -> std::result::Result<(), kv::Error> {
        for (name, value) in &self.0 {
            visitor.visit_pair(kv::Key::from_str(name), kv::ToValue::to_value(value))?;
        }
        Ok(())
    }
}

impl fmt::Display for Detail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (name, value)) in self.0.iter().enumerate() {
            let space = if index == 0 { "" } else { " " };
            write!(f, "{space}{name}={value}")?;
        }
        Ok(())
    }
}
