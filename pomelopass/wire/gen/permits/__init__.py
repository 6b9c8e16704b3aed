__all__ = ['ttypes', 'constants', 'PermitAllocator']
