"""Bodies of responses, read up to a limit."""

import aiohttp

__all__ = ["read_body"]

CHUNK_BYTES = 65_536


async def read_body(resp, max_bytes):
    """Reads the whole body of a response.

    Args:
        resp: aiohttp response.
        max_bytes: Largest body (bytes).

    Returns:
        Body (bytes).

    Raises:
        aiohttp.ClientError: The body is larger, cut short, or the connection broke.
    """
    body = bytearray()
    async for chunk in resp.content.iter_chunked(CHUNK_BYTES):
        body += chunk
        if len(body) > max_bytes:
            resp.close()
            raise aiohttp.ClientPayloadError(f"body of more than {max_bytes} bytes")
    return bytes(body)
