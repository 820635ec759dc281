"""HTTP client for the control and admin endpoints."""

import http.client
import json


class EndpointError(Exception):
    """The endpoint did not send a valid response."""


def request(address, method, path, body=None, headers=None, timeout_s=5.0):
    """Sends one request and returns (status, body text). Raises EndpointError on a connection or protocol error."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as error:
        raise EndpointError(f"{address}{path}: {error}") from error
    finally:
        connection.close()


def get_json(address, path, timeout_s=5.0):
    """Sends a GET request and returns (status, parsed body). Raises EndpointError, also if the body is not JSON."""
    status, text = request(address, "GET", path, timeout_s=timeout_s)
    try:
        return status, json.loads(text)
    except json.JSONDecodeError as error:
        raise EndpointError(f"{address}{path}: response body is not valid JSON") from error
