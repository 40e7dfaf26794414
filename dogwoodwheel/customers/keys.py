"""Issue customers' keys, and find the customer of a presented key."""

import dataclasses
import hashlib
import hmac
import re
import secrets

from dogwoodwheel.declaration import datatypes
from dogwoodwheel import exceptions

__all__ = ["PresentedKey", "digest_of", "find_customer", "issue", "parse"]

SALT_BYTES = 16
SECRET_BYTES = 32
MAX_HEADER_CHARS = 512

_NAME = re.compile(r"[a-z0-9]+")
_HEADER = re.compile(r"(?i:Bearer) +dw-([a-z0-9]+)-([A-Za-z0-9_-]+)")

# Compared against when no key has the presented name, so that the
# response time does not reveal which names exist.
_PLACEHOLDER_KEY = datatypes.Key(
    name="", salt="00" * SALT_BYTES, digest="00" * 32
)


@dataclasses.dataclass(frozen=True)
class PresentedKey:
    """A key that a caller has sent.

    Parameters
    ----------
    name : str
        Public name of the key.
    secret : str
    """

    name: str
    secret: str = dataclasses.field(repr=False)


class _KeyIndex:
    """Index of the keys of one declaration by their names.

    Notes
    -----
    Declarations are immutable, so the index of the most recent one is
    cached and identified by the identity of the declaration object.
    """

    def __init__(self):
        self.declaration = None
        self.keys = {}

    def keys_of(self, declaration):
        """Return pairs of key and customer, by name of the key."""
        if declaration is not self.declaration:
            self.keys = {
                key.name: (key, customer)
                for customer in declaration.customers.values()
                for key in customer.keys
            }
            self.declaration = declaration
        return self.keys


_INDEX = _KeyIndex()


def parse(header):
    """Parse the value of an ``Authorization`` header.

    Parameters
    ----------
    header : str or None

    Returns
    -------
    PresentedKey or None
        None if the header has no key of the form that `issue` returns.

    Examples
    --------
    >>> parse("Bearer dw-shop1-s3cret-1").name
    'shop1'
    >>> parse("Basic abc") is None
    True
    """
    if not header or len(header) > MAX_HEADER_CHARS:
        return None
    match = _HEADER.fullmatch(header.strip())
    if match is None:
        return None
    return PresentedKey(name=match.group(1), secret=match.group(2))


def digest_of(salt, secret):
    """Return the hexadecimal SHA-256 of a salt and a secret.

    Parameters
    ----------
    salt : str
        Hexadecimal digits.
    secret : str

    Returns
    -------
    str
    """
    data = bytes.fromhex(salt) + secret.encode()
    return hashlib.sha256(data).hexdigest()


def issue(name):
    """Generate a new key.

    Parameters
    ----------
    name : str
        Public name of the key: lower-case letters and digits.

    Returns
    -------
    (str, dogwoodwheel.declaration.datatypes.Key)
        The text of the key for the customer, which is not stored
        anywhere, and the salted hash of its secret for the configuration
        text.

    Raises
    ------
    DeclarationError
        If the name has any other character.

    Examples
    --------
    >>> text, key = issue("shop1")
    >>> text.startswith("dw-shop1-"), key.name
    (True, 'shop1')
    """
    if not _NAME.fullmatch(name):
        raise exceptions.DeclarationError(
            [
                f"key name {name!r} is not usable; use lower-case letters "
                f"and digits only"
            ]
        )
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    key = datatypes.Key(name=name, salt=salt, digest=digest_of(salt, secret))
    return f"dw-{name}-{secret}", key


def find_customer(declaration, header):
    """Return the customer whose key a header presents.

    Parameters
    ----------
    declaration : dogwoodwheel.declaration.datatypes.Declaration
    header : str or None
        Value of the ``Authorization`` header.

    Returns
    -------
    dogwoodwheel.declaration.datatypes.Customer or None

    Notes
    -----
    A call takes one lookup by name and one hash, independent of the
    number of keys.  The digests are compared in constant time.
    """
    presented = parse(header)
    if presented is None:
        return None
    pair = _INDEX.keys_of(declaration).get(
        presented.name, (_PLACEHOLDER_KEY, None)
    )
    key, customer = pair
    digest = digest_of(key.salt, presented.secret)
    if not hmac.compare_digest(digest, key.digest):
        return None
    return customer
