"""Makes a certificate authority and host certificates with the ``openssl`` command.

For tests and local deployments; the keys are written without a password.
"""

from __future__ import annotations

import argparse
import shutil
import subprocess
from dataclasses import dataclass
from pathlib import Path

#: Validity in days: long enough for a soak run, short enough not to be taken for production.
VALID_DAYS = 30
_COMMAND_TIMEOUT_S = 30.0


class CertificateError(Exception):
    """The ``openssl`` command is absent or failed."""


@dataclass(frozen=True, slots=True)
class CertificateFiles:
    """PEM files of one host, as in the settings table ``[tls]``."""

    certificate: Path
    key: Path
    authority: Path


def has_openssl() -> bool:
    """Return whether the ``openssl`` command is on this machine."""
    return shutil.which("openssl") is not None


def make_authority(directory: Path, *, name: str = "authority") -> Path:
    """Make a certificate authority and return its certificate file.

    :param directory: takes ``NAME.pem`` and ``NAME.key``.
    :raises CertificateError: if ``openssl`` is absent or fails.
    """
    directory.mkdir(parents=True, exist_ok=True)
    certificate, key = directory / f"{name}.pem", directory / f"{name}.key"
    _run(
        "req", "-x509", "-nodes", *_new_key(key),
        "-out", str(certificate),
        "-days", str(VALID_DAYS),
        "-subj", f"/CN=sycamoreproxy {name}",
        "-addext", "basicConstraints=critical,CA:TRUE,pathlen:0",
        "-addext", "keyUsage=critical,keyCertSign,cRLSign",
    )  # fmt: skip
    key.chmod(0o600)
    return certificate


def make_certificate(
    directory: Path, host: str, *, authority: str = "authority", ip: str = "127.0.0.1"
) -> CertificateFiles:
    """Make the certificate of a host for both ends of a connection.

    :param directory: holds the authority; takes ``HOST.pem`` and ``HOST.key``.
    :param ip: address in the subject alternative name.
    :raises CertificateError: if ``openssl`` is absent or fails.
    """
    certificate, key = directory / f"{host}.pem", directory / f"{host}.key"
    signer = directory / f"{authority}.pem"
    _run(
        "req", "-x509", "-nodes", *_new_key(key),
        "-out", str(certificate),
        "-days", str(VALID_DAYS),
        "-subj", f"/CN={host}",
        "-CA", str(signer),
        "-CAkey", str(directory / f"{authority}.key"),
        "-addext", "basicConstraints=critical,CA:FALSE",
        "-addext", "keyUsage=critical,digitalSignature",
        "-addext", "extendedKeyUsage=serverAuth,clientAuth",
        "-addext", f"subjectAltName=DNS:{host},IP:{ip}",
    )  # fmt: skip
    key.chmod(0o600)
    return CertificateFiles(certificate=certificate, key=key, authority=signer)


def _new_key(file: Path) -> tuple[str, ...]:
    return "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-keyout", str(file)


def _run(*arguments: str) -> None:
    if not has_openssl():
        raise CertificateError("the openssl command is not on this machine")
    try:
        subprocess.run(
            ["openssl", *arguments],
            check=True,
            capture_output=True,
            text=True,
            stdin=subprocess.DEVNULL,
            timeout=_COMMAND_TIMEOUT_S,
        )
    except subprocess.CalledProcessError as error:
        raise CertificateError(f"openssl {arguments[0]}: {error.stderr.strip()}") from error
    except subprocess.TimeoutExpired as error:
        raise CertificateError(f"openssl {arguments[0]} took too long") from error


def main() -> None:
    """Make an authority (unless there is one) and the certificates of hosts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("directory", type=Path)
    parser.add_argument("host", nargs="+")
    options = parser.parse_args()
    if not (options.directory / "authority.pem").exists():
        make_authority(options.directory)
    for host in options.host:
        print(make_certificate(options.directory, host).certificate)


if __name__ == "__main__":
    main()
