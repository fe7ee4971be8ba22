"""TCP proxies that add the network delay between regions, a process a region."""

import asyncio
import json

import click

__all__ = ["main", "serve_proxies"]

CHUNK_BYTES = 65_536


async def copy_delayed(reader, writer, delay_s):
    """Copies one direction; each chunk is written `delay_s` after it was read."""
    loop = asyncio.get_running_loop()
    queue = asyncio.Queue(maxsize=256)

    async def write_due():
        while True:
            due, chunk = await queue.get()
            wait_s = due - loop.time()
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
            if not chunk:
                writer.transport.abort()
                return
            writer.write(chunk)
            await writer.drain()

    writing = asyncio.ensure_future(write_due())
    try:
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            await queue.put((loop.time() + delay_s, chunk))
            if not chunk:
                await writing
                return
    except OSError:
        pass
    finally:
        writing.cancel()
        writer.transport.abort()


async def serve_proxies(proxies, delays):
    """Serves proxies until cancelled.

    Args:
        proxies: List of (host, port, target port).
        delays: Map of the second octet of a caller's address to the one-way
            delay from there (s).
    """

    def make_accept(host, target):
        async def accept(reader, writer):
            source = writer.get_extra_info("peername")[0]
            delay_s = delays.get(source.split(".")[1], 0.0)
            try:
                upstream = await asyncio.open_connection(
                    host, target, local_addr=(source, 0)
                )
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(
                copy_delayed(reader, upstream[1], delay_s),
                copy_delayed(upstream[0], writer, delay_s),
            )

        return accept

    for host, port, target in proxies:
        await asyncio.start_server(make_accept(host, target), host, port)
    await asyncio.Event().wait()


@click.command()
@click.option("--fronts", required=True, help="JSON list of [host, port, target].")
@click.option("--delays", required=True, help="JSON map of second octet to seconds.")
def main(fronts, delays):
    """Runs the delay proxies of one region."""
    asyncio.run(serve_proxies(json.loads(fronts), json.loads(delays)))


if __name__ == "__main__":
    main()
