//! What a request asks for.

/// A request's method.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Method {
    /// Read.
    Get,
    /// Read the head only.
    Head,
    /// Hand in.
    Post,
    /// Put in place.
    Put,
    /// Take away.
    Delete,
    /// Any other.
    Other(String),
}

impl Method {
    /// Its name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        match self {
            Self::Get => "GET",
            Self::Head => "HEAD",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
            Self::Other(name) => name,
        }
    }
}

impl From<&str> for Method {
    fn from(name: &str) -> Self {
        match name {
            "GET" => Self::Get,
            "HEAD" => Self::Head,
            "POST" => Self::Post,
            "PUT" => Self::Put,
            "DELETE" => Self::Delete,
            _ => Self::Other(name.to_owned()),
        }
    }
}
