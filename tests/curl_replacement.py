"""Minimal curl for machines without it; takes the options in the docs."""

import argparse
import sys

import urllib3


def main():
    """Send one request and print the body of its response."""
    parser = argparse.ArgumentParser(prog="curl")
    parser.add_argument("-s", action="store_true")
    parser.add_argument("-N", action="store_true")
    parser.add_argument("-X", dest="method")
    parser.add_argument("-H", dest="headers", action="append", default=[])
    parser.add_argument("-d", dest="body")
    parser.add_argument("url")
    options = parser.parse_args()
    method = options.method or ("GET" if options.body is None else "POST")
    headers = dict(line.split(": ", 1) for line in options.headers)
    response = urllib3.request(
        method, options.url, headers=headers, body=options.body, retries=False
    )
    sys.stdout.write(response.data.decode())


if __name__ == "__main__":
    main()
