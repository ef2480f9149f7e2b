//! HTTP methods.

/// An HTTP request method.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Method {
    /// `GET`: read a resource.
    Get,
    /// `HEAD`: read a resource's headers only.
    Head,
    /// `POST`: submit data.
    Post,
    /// `PUT`: create or replace a resource.
    Put,
    /// `DELETE`: remove a resource.
    Delete,
    /// Any other method, by name.
    Other(String),
}

impl Method {
    /// The method's name.
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
