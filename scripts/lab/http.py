"""Small HTTP requests to control and admin endpoints."""

import http.client
import json


class Unreachable(Exception):
    """The endpoint did not answer."""


def request(address, method, path, body=None, headers=None, timeout_s=5.0):
    """Sends one request; returns (status, body text). Raises Unreachable."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as error:
        raise Unreachable(f"{address}{path}: {error}") from error
    finally:
        connection.close()


def get_json(address, path, timeout_s=5.0):
    """The JSON of a GET request. Raises Unreachable, also when it is not JSON."""
    status, text = request(address, "GET", path, timeout_s=timeout_s)
    try:
        return status, json.loads(text)
    except json.JSONDecodeError as error:
        raise Unreachable(f"{address}{path}: not JSON") from error
