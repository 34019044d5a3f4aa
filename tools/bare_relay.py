"""A bare relay of the same libraries, as a yardstick: httpx in, hypercorn out, nothing between."""

import sys

import anyio
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config


def make_app(target: str):
    """Return an ASGI application that passes requests to a target and chunks back."""
    limits = httpx.Limits(max_connections=None)
    client = httpx.AsyncClient(limits=limits, timeout=None, trust_env=False)

    async def app(scope, receive, send):
        if scope["type"] != "http":
            return
        event = await receive()
        async with client.stream("POST", target + scope["path"], content=event["body"]) as response:
            headers = [(b"content-type", b"text/event-stream")]
            await send({"type": "http.response.start", "status": 200, "headers": headers})
            async for chunk in response.aiter_raw():
                await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    return app


async def main(bind: str, target: str) -> None:
    """Serve until killed."""
    config = Config()
    config.bind = [bind]
    config.accesslog = None
    config.errorlog = None
    await serve(make_app(target), config, shutdown_trigger=anyio.Event().wait)


if __name__ == "__main__":
    anyio.run(main, *sys.argv[1:3])
