"""Issue customers' keys, and find the customer whose key is presented."""

import dataclasses
import hashlib
import hmac
import re
import secrets

from dogwoodwheel.declaration import model
from dogwoodwheel import exceptions

__all__ = ["Presented", "digest_of", "find", "issue", "parse"]

SALT_BYTES = 16
SECRET_BYTES = 32
MAX_HEADER_CHARS = 512

_NAME = re.compile(r"[a-z0-9]+")
_HEADER = re.compile(r"(?i:Bearer) +dw-([a-z0-9]+)-([A-Za-z0-9_-]+)")

# Compared against when no key has the presented name, so that the time
# of an answer does not tell which names exist.
_NO_KEY = model.Key(name="", salt="00" * SALT_BYTES, digest="00" * 32)


@dataclasses.dataclass(frozen=True)
class Presented:
    """A key as a caller presents it.

    Parameters
    ----------
    name : str
        Public name of the key.
    secret : str
    """

    name: str
    secret: str = dataclasses.field(repr=False)


class _Index:
    """Keys of one declaration by name.

    Notes
    -----
    Declarations never change, so the index of the last one seen is kept
    and told by the identity of the declaration.
    """

    def __init__(self):
        self.declaration = None
        self.keys = {}

    def of(self, declaration):
        """Return the keys, as pairs of key and customer, by name."""
        if declaration is not self.declaration:
            self.keys = {
                key.name: (key, customer)
                for customer in declaration.customers.values()
                for key in customer.keys
            }
            self.declaration = declaration
        return self.keys


_INDEX = _Index()


def parse(header):
    """Read the value of an ``Authorization`` header.

    Parameters
    ----------
    header : str or None

    Returns
    -------
    Presented or None
        None where it is no key of ours.

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
    return Presented(name=match.group(1), secret=match.group(2))


def digest_of(salt, secret):
    """Return the hexadecimal SHA-256 of a salt and a secret.

    Parameters
    ----------
    salt : str
        Hexadecimal.
    secret : str

    Returns
    -------
    str
    """
    data = bytes.fromhex(salt) + secret.encode()
    return hashlib.sha256(data).hexdigest()


def issue(name):
    """Make a new key.

    Parameters
    ----------
    name : str
        Public name of the key: lower-case letters and digits.

    Returns
    -------
    (str, dogwoodwheel.declaration.model.Key)
        The key as the customer gets it, which is kept nowhere, and its
        salted hash for the operators' text.

    Raises
    ------
    DeclarationError
        If the name has other characters.

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
    key = model.Key(name=name, salt=salt, digest=digest_of(salt, secret))
    return f"dw-{name}-{secret}", key


def find(declaration, header):
    """Return the customer whose key a header presents.

    Parameters
    ----------
    declaration : dogwoodwheel.declaration.model.Declaration
    header : str or None
        Value of ``Authorization``.

    Returns
    -------
    dogwoodwheel.declaration.model.Customer or None

    Notes
    -----
    One look-up by name and one hash, whatever the number of keys; the
    digests are compared in constant time.
    """
    presented = parse(header)
    if presented is None:
        return None
    pair = _INDEX.of(declaration).get(presented.name, (_NO_KEY, None))
    key, customer = pair
    digest = digest_of(key.salt, presented.secret)
    if not hmac.compare_digest(digest, key.digest):
        return None
    return customer
