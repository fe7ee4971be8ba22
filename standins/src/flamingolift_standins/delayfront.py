"""Fronts that delay the traffic between regions, one process for each region."""

import asyncio
import json

import click

__all__ = ["main", "serve_fronts"]

CHUNK_BYTES = 65_536


async def carry(reader, writer, delay_s):
    """Copies one direction; every chunk arrives a fixed time after it was sent."""
    loop = asyncio.get_running_loop()
    line = asyncio.Queue(maxsize=256)

    async def deliver():
        while True:
            due, chunk = await line.get()
            wait_s = due - loop.time()
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
            if not chunk:
                writer.transport.abort()
                return
            writer.write(chunk)
            await writer.drain()

    delivering = asyncio.ensure_future(deliver())
    try:
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            await line.put((loop.time() + delay_s, chunk))
            if not chunk:
                await delivering
                return
    except OSError:
        pass
    finally:
        delivering.cancel()
        writer.transport.abort()


async def serve_fronts(fronts, delays):
    """Serves fronts until cancelled.

    Args:
        fronts: List of (host, port, target port).
        delays: Map of a source network (second number of the address) to the
            one-way delay from there (s).
    """

    def make_accept(host, target):
        async def accept(reader, writer):
            source = writer.get_extra_info("peername")[0]
            delay_s = delays.get(source.split(".")[1], 0.0)
            try:
                back = await asyncio.open_connection(
                    host, target, local_addr=(source, 0)
                )
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(
                carry(reader, back[1], delay_s), carry(back[0], writer, delay_s)
            )

        return accept

    for host, port, target in fronts:
        await asyncio.start_server(make_accept(host, target), host, port)
    await asyncio.Event().wait()


@click.command()
@click.option("--fronts", required=True, help="JSON list of [host, port, target].")
@click.option("--delays", required=True, help="JSON map of network to seconds.")
def main(fronts, delays):
    """Runs the fronts of one region."""
    asyncio.run(serve_fronts(json.loads(fronts), json.loads(delays)))


if __name__ == "__main__":
    main()
